/* mm_members: reads the members of each data centre's group from the store. */
#include "mm_members.h"

#include "config.h"
#include "mm_metrics.h"

#include <string.h>

#define NAME_SEPARATOR '@'
#define DATACENTRE_SEPARATOR '/'

/* A data centre and the members of its group.  */
typedef struct
{
  mm_members *members;
  char *name;
  char *group;             /* name of its group */
  char **member_names;     /* names in the last answer; NULL: none yet */
  GHashTable *holders;     /* partition -> member name, in the last answer */
  mm_time_ms requested_ms; /* when the members were last requested */
  mm_time_ms absent_since_ms; /* request of the first of the answers in a row
                                 that list none of its instances, 0: the last
                                 one lists some */
  mm_time_ms absent_until_ms; /* request of the last of these answers */
  bool in_flight;
} datacentre;

struct mm_members
{
  int refs;    /* one of the creator, one of each call in flight */
  bool closed; /* destroyed, and kept until the calls in flight end */
  mm_store_port port;
  mm_mesh *mesh;
  mm_predecessors *predecessors; /* not owned */
  char *self;                    /* member name of this instance */
  char *own_datacentre;
  datacentre *datacentres;
  size_t n_datacentres;
  size_t next; /* data centre to poll next: its index modulo n_datacentres */
  mm_time_ms next_poll_ms; /* when the next poll is due */
  mm_members_changed changed;
  void *changed_ctx;
  uint32_t n_polls; /* polls so far, MM_MEMBERS_FIRST_POLLS at most */
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
  for (size_t i = 0; i < m->n_datacentres; i++)
    {
      g_free (m->datacentres[i].name);
      g_free (m->datacentres[i].group);
      g_strfreev (m->datacentres[i].member_names);
      g_hash_table_destroy (m->datacentres[i].holders);
    }
  g_free (m->datacentres);
  g_free (m->self);
  g_free (m->own_datacentre);
  g_free (m);
}

/* A member name is INSTANCE@ADDRESS/DATACENTRE.  */
bool
mm_members_parse_name (const char *name, mm_mesh_peer_info *out)
{
  const char *at = strchr (name, NAME_SEPARATOR);
  const char *slash = at ? strchr (at, DATACENTRE_SEPARATOR) : NULL;
  if (!slash)
    {
      g_warning ("store: member %s ignored: not INSTANCE@ADDRESS/DATACENTRE",
                 name);
      return false;
    }
  out->name = g_strdup (name);
  out->addr = g_strndup (at + 1, (gsize)(slash - at - 1));
  out->datacentre = g_strdup (slash + 1);
  out->is_standby = false;
  return true;
}

/* Adds an instance that has linked to this one to the peers.  A restarted
   instance links to the others as soon as it has read the members.  The others
   can then use the instance's upstreams without waiting for their own next
   poll.  */
static void
on_hello (void *ctx, const char *name)
{
  mm_members *m = ctx;
  mm_mesh_peer_info p;
  if (strcmp (name, m->self) == 0 || !mm_members_parse_name (name, &p))
    return;
  mm_mesh_add_peer (m->mesh, &p);
  if (m->changed)
    {
      char *group = mm_members_group (p.datacentre);
      m->changed (m->changed_ctx, group);
      g_free (group);
    }
  mm_mesh_peer_info_clear (&p);
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
  m->own_datacentre = g_strdup (own);
  mm_mesh_on_hello (mesh, on_hello, m);
  m->n_datacentres = g_strv_length ((char **)datacentres);
  m->datacentres = g_new0 (datacentre, m->n_datacentres + 1);
  for (size_t i = 0; i < m->n_datacentres; i++)
    {
      m->datacentres[i].members = m;
      m->datacentres[i].name = g_strdup (datacentres[i]);
      m->datacentres[i].group = mm_members_group (datacentres[i]);
      m->datacentres[i].holders
          = g_hash_table_new_full (NULL, NULL, NULL, g_free);
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

/* Passes the members of all groups to the mesh as its peers.  A member of the
   group of another data centre than its own is standby there.  */
static void
update_mesh_peers (mm_members *m)
{
  GArray *peers = g_array_new (FALSE, FALSE, sizeof (mm_mesh_peer_info));
  g_array_set_clear_func (peers, mm_mesh_peer_info_clear);
  for (size_t i = 0; i < m->n_datacentres; i++)
    for (char **member = m->datacentres[i].member_names; member && *member;
         member++)
      {
        mm_mesh_peer_info p;
        if (strcmp (*member, m->self) == 0
            || !mm_members_parse_name (*member, &p))
          continue;
        p.is_standby = strcmp (p.datacentre, m->datacentres[i].name) != 0;
        g_array_append_val (peers, p);
      }
  mm_mesh_set_peers (m->mesh, (mm_mesh_peer_info *)(void *)peers->data,
                     peers->len);
  g_array_free (peers, TRUE);
}

/* Returns whether a member of a group is an instance of the data centre, and
   not a standby.  */
static bool
is_in_datacentre (const char *member, const char *name)
{
  const char *slash = strrchr (member, DATACENTRE_SEPARATOR);
  return slash && strcmp (slash + 1, name) == 0;
}

/* Records whether the last answer lists any instance of the data centre.  */
static void
update_absence (datacentre *dc)
{
  for (char **member = dc->member_names; *member; member++)
    if (is_in_datacentre (*member, dc->name))
      {
        dc->absent_since_ms = 0;
        return;
      }
  if (!dc->absent_since_ms)
    dc->absent_since_ms = dc->requested_ms;
  dc->absent_until_ms = dc->requested_ms;
}

/* Handles the answer to a read of the members of a data centre's group.  After
   a failure the members of the last answer are kept.  */
static void
on_members (const mm_members_result *res, void *ctx)
{
  datacentre *dc = ctx;
  mm_members *m = dc->members;
  dc->in_flight = false;
  mm_metrics_count (res->ok ? MM_CT_MEMBERS_OK : MM_CT_MEMBERS_FAILED);
  if (!m->closed && res->ok)
    {
      mm_predecessors_check (m->predecessors, dc->group, res);
      g_strfreev (dc->member_names);
      dc->member_names = g_new0 (char *, res->n_members + 1);
      for (size_t i = 0; i < res->n_members; i++)
        dc->member_names[i] = g_strdup (res->members[i]);
      update_absence (dc);
      g_hash_table_remove_all (dc->holders);
      for (size_t i = 0; i < res->n_holders; i++)
        g_hash_table_replace (dc->holders,
                              GUINT_TO_POINTER (res->holders[i].partition),
                              g_strdup (res->holders[i].member));
      update_mesh_peers (m);
      if (m->changed)
        m->changed (m->changed_ctx, NULL);
    }
  members_unref (m);
}

/* Reads the members of a data centre's group from the store, unless a call for
   them is in flight.  */
static void
request_members (datacentre *dc)
{
  mm_members *m = dc->members;
  if (dc->in_flight)
    return;
  dc->in_flight = true;
  dc->requested_ms = mm_clock_now_ms ();
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
mm_members_loaded (const mm_members *m)
{
  for (size_t i = 0; i < m->n_datacentres; i++)
    if (strcmp (m->datacentres[i].name, m->own_datacentre) == 0)
      return m->datacentres[i].member_names != NULL;
  return true;
}

static datacentre *
find_datacentre (const mm_members *m, const char *name)
{
  for (size_t i = 0; i < m->n_datacentres; i++)
    if (strcmp (m->datacentres[i].name, name) == 0)
      return &m->datacentres[i];
  return NULL;
}

const char *
mm_members_holder (mm_members *m, const char *datacentre_name,
                   uint32_t partition)
{
  datacentre *dc = find_datacentre (m, datacentre_name);
  if (!dc)
    return NULL;
  if (mm_clock_now_ms () - dc->requested_ms >= MM_OWNER_FINDER_AGE_MS)
    request_members (dc);
  return g_hash_table_lookup (dc->holders, GUINT_TO_POINTER (partition));
}

mm_members_absence
mm_members_absence_of (const mm_members *m, const char *datacentre_name)
{
  mm_members_absence r = { 0 };
  const datacentre *dc = find_datacentre (m, datacentre_name);
  if (!dc || !dc->member_names)
    return r;
  r.n_members = g_strv_length (dc->member_names);
  r.absent = dc->absent_since_ms != 0;
  if (r.absent)
    r.absent_ms = dc->absent_until_ms - dc->absent_since_ms;
  return r;
}

void
mm_members_refresh (mm_members *m, const char *datacentre_name)
{
  datacentre *dc = find_datacentre (m, datacentre_name);
  if (dc && mm_clock_now_ms () - dc->requested_ms >= MM_STANDBY_ABSENT_POLL_MS)
    request_members (dc);
}

/* Polls all data centres the first time, and after that the own one each time
   and the others in turn.  With dozens of data centres, the answers of all
   together would be most of what an instance reads.  */
void
mm_members_tick (mm_members *m)
{
  mm_time_ms now = mm_clock_now_ms ();
  if (now < m->next_poll_ms)
    return;
  /* The first polls follow one another quickly, for two reasons.  Other
     instances may just be joining, for example after a power failure.  And an
     early answer may not list a previous incarnation of this instance.  */
  bool first = m->n_polls == 0;
  m->n_polls = MIN (m->n_polls + 1, MM_MEMBERS_FIRST_POLLS);
  m->next_poll_ms
      = now
        + (m->n_polls < MM_MEMBERS_FIRST_POLLS ? MM_MEMBERS_FIRST_POLL_MS
                                               : MM_MEMBERS_POLL_MS);
  size_t n_far = first ? m->n_datacentres
                       : MIN (m->n_datacentres, MM_MEMBERS_FAR_PER_POLL);
  for (size_t i = 0; i < n_far; i++, m->next++)
    request_members (&m->datacentres[m->next % m->n_datacentres]);
  for (size_t i = 0; i < m->n_datacentres; i++)
    if (strcmp (m->datacentres[i].name, m->own_datacentre) == 0)
      request_members (&m->datacentres[i]);
}
