/* mm_members: ask the store who holds partitions in each data centre.  */
#include "mm_members.h"

#include "config.h"
#include "mm_metrics.h"

#include <string.h>

#define NAME_SEPARATOR '@'
#define DATACENTRE_SEPARATOR '/'

typedef struct
{
  mm_members *members;
  char *name;
  char *group;
  char **who; /* member names last told */
  bool in_flight;
} datacentre;

struct mm_members
{
  int refs; /* the maker's, and one a call in flight */
  bool closed;
  mm_store_port port;
  mm_mesh *mesh;
  mm_predecessors *predecessors; /* not ours */
  char *self;
  char *own; /* data centre */
  datacentre *dcs;
  size_t n;
  size_t next; /* of the data centres, asked about by turns */
  mm_time_ms due_ms;
  mm_members_changed changed;
  void *changed_ctx;
  uint32_t asked; /* how often, while few */
};

char *
mm_members_name (const char *instance, const char *mesh_addr, const char *dc)
{
  return g_strdup_printf ("%s%c%s%c%s", instance, NAME_SEPARATOR, mesh_addr,
                          DATACENTRE_SEPARATOR, dc);
}

char *
mm_members_group (const char *dc)
{
  return g_strdup_printf ("room-%s", dc);
}

static void
members_unref (mm_members *m)
{
  if (--m->refs > 0)
    return;
  for (size_t i = 0; i < m->n; i++)
    {
      g_free (m->dcs[i].name);
      g_free (m->dcs[i].group);
      g_strfreev (m->dcs[i].who);
    }
  g_free (m->dcs);
  g_free (m->self);
  g_free (m->own);
  g_free (m);
}

/* INSTANCE@ADDRESS/DATACENTRE; the parts are freed by mm_peer_info_clear(). */
bool
mm_members_read_name (const char *name, mm_peer_info *out)
{
  const char *at = strchr (name, NAME_SEPARATOR);
  const char *slash = at ? strchr (at, DATACENTRE_SEPARATOR) : NULL;
  if (!slash)
    {
      g_warning ("store: member %s passed over: not a name of ours", name);
      return false;
    }
  out->name = g_strdup (name);
  out->addr = g_strndup (at + 1, (gsize)(slash - at - 1));
  out->datacentre = g_strdup (slash + 1);
  out->stands_in = false;
  return true;
}

/* A restarted instance reads the list and links to all: they need not wait
   for their next reading of the list to use its upstreams.  */
static void
on_hello (void *ctx, const char *name)
{
  mm_members *m = ctx;
  mm_peer_info p;
  if (strcmp (name, m->self) == 0 || !mm_members_read_name (name, &p))
    return;
  mm_mesh_add_peer (m->mesh, &p);
  if (m->changed)
    {
      char *group = mm_members_group (p.datacentre);
      m->changed (m->changed_ctx, group);
      g_free (group);
    }
  mm_peer_info_clear (&p);
}

mm_members *
mm_members_create (const mm_store_port *port, mm_mesh *mesh,
                   char *const *datacentres, const char *own, const char *self,
                   mm_predecessors *predecessors)
{
  mm_members *m = g_new0 (mm_members, 1);
  m->refs = 1;
  m->port = *port;
  m->mesh = mesh;
  m->predecessors = predecessors;
  m->self = g_strdup (self);
  m->own = g_strdup (own);
  mm_mesh_on_hello (mesh, on_hello, m);
  m->n = g_strv_length ((char **)datacentres);
  m->dcs = g_new0 (datacentre, m->n + 1);
  for (size_t i = 0; i < m->n; i++)
    {
      m->dcs[i].members = m;
      m->dcs[i].name = g_strdup (datacentres[i]);
      m->dcs[i].group = mm_members_group (datacentres[i]);
    }
  return m;
}

void
mm_members_destroy (mm_members *m)
{
  if (!m)
    return;
  m->closed = true;
  mm_mesh_on_hello (m->mesh, NULL, NULL);
  members_unref (m);
}

static void
publish (mm_members *m)
{
  GArray *peers = g_array_new (FALSE, FALSE, sizeof (mm_peer_info));
  g_array_set_clear_func (peers, mm_peer_info_clear);
  for (size_t i = 0; i < m->n; i++)
    for (char **w = m->dcs[i].who; w && *w; w++)
      {
        mm_peer_info p;
        if (strcmp (*w, m->self) == 0 || !mm_members_read_name (*w, &p))
          continue;
        p.stands_in = strcmp (p.datacentre, m->dcs[i].name) != 0;
        g_array_append_val (peers, p);
      }
  mm_mesh_set_peers (m->mesh, (mm_peer_info *)(void *)peers->data, peers->len);
  g_array_free (peers, TRUE);
}

static void
on_members (const mm_members_result *res, void *ctx)
{
  datacentre *dc = ctx;
  mm_members *m = dc->members;
  dc->in_flight = false;
  mm_metrics_count (res->ok ? MM_CT_MEMBERS_OK : MM_CT_MEMBERS_FAILED);
  if (!m->closed && res->ok)
    {
      mm_predecessors_note (m->predecessors, dc->group, res);
      g_strfreev (dc->who);
      dc->who = g_new0 (char *, res->n_members + 1);
      for (size_t i = 0; i < res->n_members; i++)
        dc->who[i] = g_strdup (res->members[i]);
      publish (m);
      if (m->changed)
        m->changed (m->changed_ctx, NULL);
    }
  members_unref (m);
}

static void
ask (datacentre *dc)
{
  mm_members *m = dc->members;
  if (dc->in_flight)
    return;
  dc->in_flight = true;
  m->refs++;
  m->port.members (m->port.ctx, dc->group, MM_STORE_TIMEOUT_MS, on_members,
                   dc);
}

void
mm_members_on_changed (mm_members *m, mm_members_changed changed, void *ctx)
{
  m->changed = changed;
  m->changed_ctx = ctx;
}

bool
mm_members_heard (const mm_members *m)
{
  for (size_t i = 0; i < m->n; i++)
    if (strcmp (m->dcs[i].name, m->own) == 0)
      return m->dcs[i].who != NULL;
  return true;
}

/* Our own data centre each time, the others by turns: with dozens of them,
   all answers together would be most of what an instance reads.  */
void
mm_members_tick (mm_members *m)
{
  mm_time_ms now = mm_clock_now_ms ();
  if (now < m->due_ms)
    return;
  /* Soon again while others may just have joined, as after a loss of power,
     and an earlier life of ours may not have been named.  */
  bool first = m->asked == 0;
  m->asked = MIN (m->asked + 1, MM_MEMBERS_FIRST_POLLS);
  m->due_ms = now
              + (m->asked < MM_MEMBERS_FIRST_POLLS ? MM_MEMBERS_FIRST_POLL_MS
                                                   : MM_MEMBERS_POLL_MS);
  size_t others = first ? m->n : MIN (m->n, MM_MEMBERS_FAR_POLL);
  for (size_t i = 0; i < others; i++, m->next++)
    ask (&m->dcs[m->next % m->n]);
  for (size_t i = 0; i < m->n; i++)
    if (strcmp (m->dcs[i].name, m->own) == 0)
      ask (&m->dcs[i]);
}
