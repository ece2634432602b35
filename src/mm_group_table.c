/* mm_group_table: members, partitions and a generation.  */
#include "mm_group_table.h"

#include <string.h>

typedef struct
{
  char *name;
  uint64_t confirmed; /* the generation it joined with */
  mm_time_ms until_ms;
} member;

typedef struct
{
  member *holder;       /* may still act on it, or NULL */
  member *target;       /* gets it next, or NULL */
  uint64_t unlisted_at; /* generation at which the holder lost sight */
} partition;

struct mm_group_table
{
  GPtrArray *members;
  partition *parts;
  uint32_t n;
  uint64_t generation;
};

static void
member_free (gpointer p)
{
  g_free (((member *)p)->name);
  g_free (p);
}

mm_group_table *
mm_group_table_create (uint32_t parts)
{
  mm_group_table *g = g_new0 (mm_group_table, 1);
  g->members = g_ptr_array_new_with_free_func (member_free);
  g->parts = g_new0 (partition, parts);
  g->n = parts;
  return g;
}

void
mm_group_table_destroy (mm_group_table *g)
{
  if (!g)
    return;
  g_ptr_array_free (g->members, TRUE);
  g_free (g->parts);
  g_free (g);
}

static uint32_t
load_of (const mm_group_table *g, const member *m)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < g->n; i++)
    n += g->parts[i].target == m;
  return n;
}

static member *
least_loaded (const mm_group_table *g)
{
  member *best = NULL;
  for (guint i = 0; i < g->members->len; i++)
    {
      member *m = g->members->pdata[i];
      if (!best || load_of (g, m) < load_of (g, best))
        best = m;
    }
  return best;
}

static void
retarget (mm_group_table *g, partition *p, member *to)
{
  p->target = to;
  if (p->holder && p->holder != to)
    p->unlisted_at = g->generation;
}

/* Even shares, moving as little as possible.  */
static void
balance (mm_group_table *g)
{
  uint32_t most
      = g->members->len ? (g->n + g->members->len - 1) / g->members->len : 0;
  g->generation++;
  for (uint32_t i = 0; i < g->n; i++)
    {
      partition *p = &g->parts[i];
      member *least = least_loaded (g);
      bool over = p->target
                  && (load_of (g, p->target) > most
                      || load_of (g, p->target) > load_of (g, least) + 1);
      if (!p->target || over)
        retarget (g, p, least);
    }
}

/* Give partitions whose holders have let go to their targets.  */
static void
hand_over (mm_group_table *g)
{
  bool moved = false;
  for (uint32_t i = 0; i < g->n; i++)
    {
      partition *p = &g->parts[i];
      if (p->holder == p->target
          || (p->holder && p->holder->confirmed < p->unlisted_at))
        continue;
      p->holder = p->target;
      moved = true;
    }
  if (moved)
    g->generation++;
}

static member *
find (const mm_group_table *g, const char *name)
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
  member *m = find (g, name);
  bool joined = !m;
  if (joined)
    {
      m = g_new0 (member, 1);
      m->name = g_strdup (name);
      g_ptr_array_add (g->members, m);
    }
  m->until_ms = now_ms + ttl_ms;
  m->confirmed = MAX (m->confirmed, generation);
  if (joined)
    balance (g);
  hand_over (g);
  return g->generation;
}

static void
remove_member (mm_group_table *g, member *m)
{
  for (uint32_t i = 0; i < g->n; i++)
    {
      if (g->parts[i].holder == m)
        g->parts[i].holder = NULL;
      if (g->parts[i].target == m)
        g->parts[i].target = NULL;
    }
  g_ptr_array_remove (g->members, m);
  balance (g);
  hand_over (g);
}

void
mm_group_table_leave (mm_group_table *g, const char *name)
{
  member *m = find (g, name);
  if (m)
    remove_member (g, m);
}

void
mm_group_table_step (mm_group_table *g, mm_time_ms now_ms)
{
  for (guint i = 0; i < g->members->len;)
    {
      member *m = g->members->pdata[i];
      if (now_ms > m->until_ms)
        remove_member (g, m);
      else
        i++;
    }
}

void
mm_group_table_deal_anew (mm_group_table *g)
{
  if (!g->members->len)
    return;
  g->generation++;
  for (uint32_t i = 0; i < g->n; i++)
    {
      member *to = g->members->pdata[(i + g->generation) % g->members->len];
      g->parts[i].holder = g->parts[i].target = to;
    }
}

const char *
mm_group_table_holder (const mm_group_table *g, uint32_t part)
{
  const partition *p = &g->parts[part];
  return p->holder && p->holder == p->target ? p->holder->name : NULL;
}

uint32_t
mm_group_table_parts (const mm_group_table *g)
{
  return g->n;
}

uint64_t
mm_group_table_generation (const mm_group_table *g)
{
  return g->generation;
}
