/* mm_group_table: one group of the store, as the store keeps it.  Used by
   the platform stand-in and by tests.

   Partitions are assigned evenly to the members.  A partition moves in two
   steps: it is no longer listed for its holder, and it is assigned to another
   member once the holder joins with that generation, leaves, or sends no
   join for its ttl.  The caller passes the time in.  */
#ifndef MM_GROUP_TABLE_H
#define MM_GROUP_TABLE_H

#include "masticmill.h"

typedef struct mm_group_table mm_group_table;

mm_group_table *mm_group_table_create (uint32_t n_partitions);
void mm_group_table_destroy (mm_group_table *g);
/* Adds a member or renews its membership for @ttl_ms; @generation is the
   newest that the member has seen.  Return: the generation now.  */
uint64_t mm_group_table_join (mm_group_table *g, const char *member,
                              uint64_t generation, mm_time_ms ttl_ms,
                              mm_time_ms now_ms);
void mm_group_table_leave (mm_group_table *g, const char *member);
/* Removes the members whose ttl has passed.  */
void mm_group_table_step (mm_group_table *g, mm_time_ms now_ms);
/* Reassigns all partitions at once, without the two steps.  */
void mm_group_table_reassign_all (mm_group_table *g);
/* Returns the member that holds the partition and has it listed, or NULL.  */
const char *mm_group_table_holder (const mm_group_table *g, uint32_t index);
uint32_t mm_group_table_partition_count (const mm_group_table *g);
uint64_t mm_group_table_generation (const mm_group_table *g);

#endif /* MM_GROUP_TABLE_H */
