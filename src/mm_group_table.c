/* mm_group_table: members, partitions and the generation of a group.  */
#include "mm_group_table.h"

#include <string.h>

/* A member of a group.  */
typedef struct
{
  char *name;
  uint64_t joined_generation; /* highest generation that it has joined with */
  mm_time_ms expires_ms;      /* it is removed after this time */
} member;

/* A partition.  It is moving while holder and target differ.  */
typedef struct
{
  member *holder; /* member that may still use the partition, or NULL */
  member *target; /* member that the partition is assigned to, or NULL */
  /* Generation from which on the partition is not listed for a holder that is
     not the target.  */
  uint64_t unlisted_generation;
} partition;

struct mm_group_table
{
  GPtrArray *members; /* member * */
  partition *partitions;
  uint32_t n_partitions;
  uint64_t generation;
};

static void
member_free (gpointer p)
{
  g_free (((member *)p)->name);
  g_free (p);
}

mm_group_table *
mm_group_table_create (uint32_t n_partitions)
{
  mm_group_table *g = g_new0 (mm_group_table, 1);
  g->members = g_ptr_array_new_with_free_func (member_free);
  g->partitions = g_new0 (partition, n_partitions);
  g->n_partitions = n_partitions;
  return g;
}

void
mm_group_table_destroy (mm_group_table *g)
{
  if (!g)
    return;
  g_ptr_array_free (g->members, TRUE);
  g_free (g->partitions);
  g_free (g);
}

/* Returns the number of partitions that are assigned to a member.  */
static uint32_t
target_count (const mm_group_table *g, const member *m)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < g->n_partitions; i++)
    n += g->partitions[i].target == m;
  return n;
}

/* Returns the member with the fewest assigned partitions, or NULL if the group
   has no members.  */
static member *
least_loaded (const mm_group_table *g)
{
  member *best = NULL;
  for (guint i = 0; i < g->members->len; i++)
    {
      member *m = g->members->pdata[i];
      if (!best || target_count (g, m) < target_count (g, best))
        best = m;
    }
  return best;
}

/* Assigns a partition to @to, which becomes its holder once the current holder
   has released it.  */
static void
set_target (mm_group_table *g, partition *p, member *to)
{
  p->target = to;
  if (p->holder && p->holder != to)
    p->unlisted_generation = g->generation;
}

/* Assigns the partitions evenly and moves as few of them as possible.  Only
   partitions without a target or of an overloaded member are reassigned, to
   the least loaded member.  A member is overloaded if it has more than an even
   share (rounded up), or at least two more than the least loaded member.  */
static void
rebalance (mm_group_table *g)
{
  uint32_t max_count
      = g->members->len
            ? (g->n_partitions + g->members->len - 1) / g->members->len
            : 0;
  g->generation++;
  for (uint32_t i = 0; i < g->n_partitions; i++)
    {
      partition *p = &g->partitions[i];
      member *least = least_loaded (g);
      bool overloaded
          = p->target
            && (target_count (g, p->target) > max_count
                || target_count (g, p->target) > target_count (g, least) + 1);
      if (!p->target || overloaded)
        set_target (g, p, least);
    }
}

/* Makes the target of each partition that its holder has released the new
   holder.  A holder has released a partition once it has joined with a
   generation in which the partition is no longer listed for it.  */
static void
complete_moves (mm_group_table *g)
{
  bool moved = false;
  for (uint32_t i = 0; i < g->n_partitions; i++)
    {
      partition *p = &g->partitions[i];
      if (p->holder == p->target
          || (p->holder
              && p->holder->joined_generation < p->unlisted_generation))
        continue;
      p->holder = p->target;
      moved = true;
    }
  if (moved)
    g->generation++;
}

static member *
find_member (const mm_group_table *g, const char *name)
{
  for (guint i = 0; i < g->members->len; i++)
    if (strcmp (((member *)g->members->pdata[i])->name, name) == 0)
      return g->members->pdata[i];
  return NULL;
}

uint64_t
mm_group_table_join (mm_group_table *g, const char *name, uint64_t generation,
                     mm_time_ms ttl_ms, mm_time_ms now_ms)
{
  mm_group_table_step (g, now_ms);
  member *m = find_member (g, name);
  bool joined = !m;
  if (joined)
    {
      m = g_new0 (member, 1);
      m->name = g_strdup (name);
      g_ptr_array_add (g->members, m);
    }
  m->expires_ms = now_ms + ttl_ms;
  m->joined_generation = MAX (m->joined_generation, generation);
  if (joined)
    rebalance (g);
  complete_moves (g);
  return g->generation;
}

/* Removes a member and assigns its partitions to others.  */
static void
remove_member (mm_group_table *g, member *m)
{
  for (uint32_t i = 0; i < g->n_partitions; i++)
    {
      if (g->partitions[i].holder == m)
        g->partitions[i].holder = NULL;
      if (g->partitions[i].target == m)
        g->partitions[i].target = NULL;
    }
  g_ptr_array_remove (g->members, m);
  rebalance (g);
  complete_moves (g);
}

void
mm_group_table_leave (mm_group_table *g, const char *name)
{
  member *m = find_member (g, name);
  if (m)
    remove_member (g, m);
}

void
mm_group_table_step (mm_group_table *g, mm_time_ms now_ms)
{
  for (guint i = 0; i < g->members->len;)
    {
      member *m = g->members->pdata[i];
      if (now_ms > m->expires_ms)
        remove_member (g, m);
      else
        i++;
    }
}

void
mm_group_table_reassign_all (mm_group_table *g)
{
  if (!g->members->len)
    return;
  g->generation++;
  for (uint32_t i = 0; i < g->n_partitions; i++)
    {
      member *to = g->members->pdata[(i + g->generation) % g->members->len];
      g->partitions[i].holder = g->partitions[i].target = to;
    }
}

const char *
mm_group_table_holder (const mm_group_table *g, uint32_t index)
{
  const partition *p = &g->partitions[index];
  return p->holder && p->holder == p->target ? p->holder->name : NULL;
}

uint32_t
mm_group_table_partition_count (const mm_group_table *g)
{
  return g->n_partitions;
}

uint64_t
mm_group_table_generation (const mm_group_table *g)
{
  return g->generation;
}
