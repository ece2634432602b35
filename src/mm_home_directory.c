/* mm_home_directory: polls the store for the homes of the partitions of kept
   jobs.  */
#include "mm_home_directory.h"

#include "config.h"
#include "mm_members.h"
#include "mm_metrics.h"

#include <string.h>
#include <xxhash.h>

struct mm_home_directory
{
  int refs;    /* one of the creator, one per call in flight */
  bool closed; /* mm_home_directory_destroy() was called */
  mm_store_port port;
  mm_mesh *mesh;
  mm_predecessors *predecessors; /* borrowed */
  char *self;                    /* member name of this instance */
  uint32_t n_partitions;
  char **home;            /* member name for each partition, NULL: not known */
  bool in_flight;         /* a call to the store is not answered yet */
  mm_time_ms poll_due_ms; /* when to send the next call */
  mm_time_ms last_poll_ms; /* when the last call was sent */
  mm_time_ms last_used_ms; /* when a home was last needed, 0: not within
                              MM_KEPT_HOMES_IDLE_MS */
  bool loaded;             /* the store has answered at least once */
  bool failing;            /* the last call has failed */
  bool complete;           /* every partition has a home */
};

static void
directory_unref (mm_home_directory *h)
{
  if (--h->refs > 0)
    return;
  for (uint32_t i = 0; i < h->n_partitions; i++)
    g_free (h->home[i]);
  g_free (h->home);
  g_free (h->self);
  g_free (h);
}

mm_home_directory *
mm_home_directory_create (const mm_store_port *port, mm_mesh *mesh,
                          const char *self, uint32_t n_partitions,
                          mm_predecessors *predecessors)
{
  mm_home_directory *h = g_new0 (mm_home_directory, 1);
  h->refs = 1;
  h->port = *port;
  h->mesh = mesh;
  h->predecessors = predecessors;
  h->self = g_strdup (self);
  h->n_partitions = n_partitions;
  h->home = g_new0 (char *, n_partitions);
  return h;
}

void
mm_home_directory_destroy (mm_home_directory *h)
{
  if (!h)
    return;
  h->closed = true;
  directory_unref (h);
}

uint32_t
mm_home_directory_partition_of (const mm_home_directory *h, const char *job_id)
{
  return (uint32_t)(XXH3_64bits (job_id, strlen (job_id)) % h->n_partitions);
}

const char *
mm_home_directory_lookup (const mm_home_directory *h, uint32_t partition)
{
  return h->home[partition];
}

/* Adds a home to the mesh.  A home need not be a neighbour of this instance,
   so a link to the home is required while kept jobs are in use.  */
static void
add_peer (mm_home_directory *h, const char *member)
{
  mm_mesh_peer_info p;
  if (strcmp (member, h->self) == 0 || !mm_members_parse_name (member, &p))
    return;
  mm_mesh_add_peer (h->mesh, &p);
  mm_mesh_peer_info_clear (&p);
  if (h->last_used_ms)
    mm_mesh_require_link (h->mesh, member);
}

/* Replaces the homes by those in the store's answer, and adds the instances to
   the mesh.  */
static void
on_members (const mm_members_result *res, void *ctx)
{
  mm_home_directory *h = ctx;
  h->in_flight = false;
  h->failing = !res->ok;
  mm_metrics_count (res->ok ? MM_CT_MEMBERS_OK : MM_CT_MEMBERS_FAILED);
  if (!h->closed && res->ok)
    {
      mm_predecessors_check (h->predecessors, MM_JOBS_GROUP, res);
      h->loaded = true;
      for (uint32_t i = 0; i < h->n_partitions; i++)
        g_clear_pointer (&h->home[i], g_free);
      for (size_t i = 0; i < res->n_holders; i++)
        if (res->holders[i].partition < h->n_partitions)
          {
            char **home = &h->home[res->holders[i].partition];
            g_free (*home);
            *home = g_strdup (res->holders[i].member);
          }
      h->complete = res->n_holders >= h->n_partitions;
      for (size_t i = 0; i < res->n_members; i++)
        add_peer (h, res->members[i]);
    }
  directory_unref (h);
}

void
mm_home_directory_set_used (mm_home_directory *h)
{
  if (!h->last_used_ms)
    h->poll_due_ms = 0;
  h->last_used_ms = mm_clock_now_ms ();
}

void
mm_home_directory_poll_soon (mm_home_directory *h)
{
  h->poll_due_ms
      = MIN (h->poll_due_ms, h->last_poll_ms + MM_KEPT_HOMES_FAST_POLL_MS);
}

bool
mm_home_directory_failing (const mm_home_directory *h)
{
  return h->failing;
}

bool
mm_home_directory_loaded (const mm_home_directory *h)
{
  return h->loaded;
}

void
mm_home_directory_tick (mm_home_directory *h)
{
  mm_time_ms now = mm_clock_now_ms ();
  if (h->last_used_ms && now - h->last_used_ms > MM_KEPT_HOMES_IDLE_MS)
    h->last_used_ms = 0;
  if (h->in_flight || now < h->poll_due_ms)
    return;
  /* Poll fast while homes are being assigned: until they are known, every
     request about a kept job is refused.  */
  mm_time_ms pause_ms = !h->complete      ? MM_GROUP_HEARTBEAT_MS
                        : h->last_used_ms ? MM_KEPT_HOMES_POLL_MS
                                          : MM_MEMBERS_POLL_MS;
  h->poll_due_ms = now + pause_ms;
  h->last_poll_ms = now;
  h->in_flight = true;
  h->refs++;
  h->port.members (h->port.ctx, MM_JOBS_GROUP, MM_STORE_TIMEOUT_MS, on_members,
                   h);
}
