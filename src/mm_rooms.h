/* mm_rooms: the free capacity of single upstreams, as owners report it.

   The sum over all upstreams does not tell whether a task fits: two upstreams
   with half of a task's size each have no room for it.  Memory and GPUs are
   left out; the owner checks them.  */
#ifndef MM_ROOMS_H
#define MM_ROOMS_H

#include <stddef.h>
#include <stdint.h>

/* Most rooms in a report.  */
#define MM_ROOMS_MAX 16u
/* Sizes are reported in so many steps, one byte of msgpack each.  */
#define MM_ROOMS_STEPS 127

typedef struct
{
  int64_t unit_milli;   /* thousandths of a core per step */
  uint32_t n;           /* number of @sizes */
  uint32_t n_upstreams; /* upstreams that these stand for, at least @n */
  uint8_t sizes[MM_ROOMS_MAX]; /* in steps, largest first */
} mm_rooms;

/* Fills @r with the rooms of @n upstreams.  @free_milli: the free capacity of
   each in thousandths of a core, in any order; is sorted.  If there are more
   than MM_ROOMS_MAX, some at even distances stand for all.  */
void mm_rooms_fill (mm_rooms *r, int64_t *free_milli, size_t n);
/* Returns how many tasks of @cpu_milli fit into the rooms.  */
uint32_t mm_rooms_count (const mm_rooms *r, int64_t cpu_milli);
/* Returns the size, in thousandths of a core, of the smallest room in which a
   task of @cpu_milli fits, -1 if there is none.  */
int64_t mm_rooms_tightest_milli (const mm_rooms *r, int64_t cpu_milli);
/* Takes the capacity for a task of @cpu_milli from the smallest room in which
   it fits, if there is one.  */
void mm_rooms_take (mm_rooms *r, int64_t cpu_milli);

#endif /* MM_ROOMS_H */
