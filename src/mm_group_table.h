/* mm_group_table: one group of the store, as the store keeps it.  What
   stand-ins and tests are made of.

   Partitions are shared out evenly among the members.  A partition moves
   in two steps: its holder no longer sees it, and another gets it once
   the holder joins with that generation, leaves, or is silent for its
   ttl.  The caller tells the time.  */
#ifndef MM_GROUP_TABLE_H
#define MM_GROUP_TABLE_H

#include "masticmill.h"

typedef struct mm_group_table mm_group_table;

mm_group_table *mm_group_table_create (uint32_t parts);
void mm_group_table_destroy (mm_group_table *g);
/* Join, or stay.  Return: the generation.  */
uint64_t mm_group_table_join (mm_group_table *g, const char *member,
                              uint64_t generation, mm_time_ms ttl_ms,
                              mm_time_ms now_ms);
void mm_group_table_leave (mm_group_table *g, const char *member);
void mm_group_table_step (mm_group_table *g, mm_time_ms now_ms); /* ttls */
void mm_group_table_deal_anew (mm_group_table *g); /* all at once */
/* Who holds a partition and sees it, or NULL.  */
const char *mm_group_table_holder (const mm_group_table *g, uint32_t part);
uint32_t mm_group_table_parts (const mm_group_table *g);
uint64_t mm_group_table_generation (const mm_group_table *g);

#endif /* MM_GROUP_TABLE_H */
