/* mm_datacentres: partitions of the own data centre, and of others as standby.

   An instance becomes standby at once for a data centre whose last instance
   closed its links.  When the links became unresponsive, the instances there
   may have lost power, or be unreachable because of a network fault.  In the
   second case they go on serving their upstreams, and the higher fencing token
   of a standby would stop the runs there once the network works again.  So an
   instance then becomes standby only after the store has listed none of them,
   but some of their upstreams, for MM_STANDBY_ABSENT_MS.  That also holds for
   an instance that was started after the loss.  Of all instances that are
   connected to each other, MM_STANDBY_COUNT become standby.  */
#include "mm_datacentres.h"

#include "config.h"
#include "mm_event.h"
#include "mm_members.h"
#include "mm_metrics.h"

#include <string.h>
#include <xxhash.h>

/* A data centre, and this instance's membership in its group.  */
typedef struct
{
  char *datacentre;
  char *group;
  bool own;                  /* whether this instance is in the data centre */
  mm_partitions *partitions; /* NULL: not a member */
  bool retiring;             /* leaves the group once its upstreams are idle */
  mm_time_ms retiring_since_ms;
  mm_time_ms standby_needed_since_ms; /* 0: no standby is needed */
  mm_time_ms handover_since_ms;       /* 0: no handover is under way */
  mm_handover_step step;              /* of that handover */
  bool waited;                        /* it has waited for the runs */
} membership;

struct mm_datacentres
{
  mm_store_port port;
  mm_mesh *mesh;
  mm_members *members; /* NULL: the store's list of instances is not used */
  char *member;
  uint32_t n_partitions;
  mm_datacentres_events ev;
  membership *memberships;
  size_t n_memberships;
  /* Changes so far, besides those that the current memberships count.  */
  uint64_t changes;
  bool transfer_runs;    /* mm_datacentres_set_transfer_runs() */
  bool leaving;          /* mm_datacentres_leave() was called */
  mm_time_ms checked_ms; /* when the need for a standby was last checked */
  /* While leaving: partitions are released from alone_after_ms on if no peer
     is connected, and from release_by_ms on in any case.  */
  mm_time_ms alone_after_ms;
  mm_time_ms release_by_ms;
};

static void
on_released (void *ctx, const char *group)
{
  mm_mesh_notify_released (((mm_datacentres *)ctx)->mesh, group);
}

static void
on_changed (void *ctx)
{
  mm_datacentres *dcs = ctx;
  dcs->ev.changed (dcs->ev.ctx);
}

/* Becomes a member of the data centre's group with the next tick.  */
static void
join_group (mm_datacentres *dcs, membership *m)
{
  m->partitions = mm_partitions_create (&dcs->port, m->group, dcs->member,
                                        dcs->n_partitions);
  mm_partitions_events ev
      = { .released = on_released, .changed = on_changed, .ctx = dcs };
  mm_partitions_set_events (m->partitions, &ev);
  mm_partitions_defer_in_outages (m->partitions);
  m->retiring = false;
}

mm_datacentres *
mm_datacentres_create (const mm_store_port *port, mm_mesh *mesh,
                       char *const *datacentres, const char *own,
                       const char *member, uint32_t n_partitions,
                       const mm_datacentres_events *ev)
{
  mm_datacentres *dcs = g_new0 (mm_datacentres, 1);
  dcs->port = *port;
  dcs->mesh = mesh;
  dcs->member = g_strdup (member);
  dcs->n_partitions = n_partitions;
  dcs->ev = *ev;
  dcs->n_memberships = g_strv_length ((char **)datacentres);
  dcs->memberships = g_new0 (membership, dcs->n_memberships + 1);
  for (size_t i = 0; i < dcs->n_memberships; i++)
    {
      membership *m = &dcs->memberships[i];
      m->datacentre = g_strdup (datacentres[i]);
      m->group = mm_members_group (datacentres[i]);
      m->own = strcmp (datacentres[i], own) == 0;
      if (m->own)
        join_group (dcs, m);
    }
  return dcs;
}

void
mm_datacentres_destroy (mm_datacentres *dcs)
{
  if (!dcs)
    return;
  for (size_t i = 0; i < dcs->n_memberships; i++)
    {
      mm_partitions_destroy (dcs->memberships[i].partitions);
      g_free (dcs->memberships[i].datacentre);
      g_free (dcs->memberships[i].group);
    }
  g_free (dcs->memberships);
  g_free (dcs->member);
  g_free (dcs);
}

/* Begins to leave the group; its partitions are released once their upstreams
   are idle, or after MM_HANDOVER_MS.  */
static void
retire (mm_datacentres *dcs, membership *m)
{
  if (!m->partitions || m->retiring)
    return;
  dcs->changes++;
  m->retiring = true;
  m->retiring_since_ms = mm_clock_now_ms ();
}

/* Returns a hash by which all instances order the standby candidates of a data
   centre; the highest ranks first.  */
static uint64_t
rank_of (const char *instance, const char *datacentre)
{
  return XXH3_64bits_withSeed (instance, strlen (instance),
                               XXH3_64bits (datacentre, strlen (datacentre)));
}

/* Returns whether this instance is one of the MM_STANDBY_COUNT that rank first
   for the data centre, among itself and its connected peers.  */
static bool
is_chosen_standby (const mm_datacentres *dcs, const membership *m)
{
  mm_mesh_peer_capacity peers[MM_FLEET_MAX_OWNERS];
  size_t n
      = mm_mesh_peer_capacities (dcs->mesh, "", peers, MM_FLEET_MAX_OWNERS);
  uint64_t own = rank_of (dcs->member, m->datacentre);
  uint32_t n_before = 0;
  for (size_t i = 0; i < n; i++)
    n_before += rank_of (peers[i].name, m->datacentre) > own;
  return n_before < MM_STANDBY_COUNT;
}

/* Returns for how long the store has listed no instance of a data centre that
   cannot be reached and has upstreams; 0: no standby is needed for that
   reason.  @presence: what the links show of it.  */
static mm_time_ms
absent_ms (const mm_datacentres *dcs, const membership *m,
           const mm_mesh_presence *presence, mm_time_ms now)
{
  if (!dcs->members || presence->connected)
    return 0;
  mm_members_absence absence
      = mm_members_absence_of (dcs->members, m->datacentre);
  bool lost_lately = presence->lost_ms
                     && now - presence->lost_ms < MM_MESH_UNLISTED_KEEP_MS;
  if ((!absence.absent && !lost_lately) || !is_chosen_standby (dcs, m))
    return 0;
  mm_members_refresh (dcs->members, m->datacentre);
  if (!absence.absent || absence.n_members >= MM_STANDBY_COUNT
      || !dcs->ev.lists_upstreams (dcs->ev.ctx, m->datacentre))
    return 0;
  /* The instances may run and have lost only their membership.  */
  mm_mesh_reach_datacentre (dcs->mesh, m->datacentre);
  return absence.absent_ms;
}

/* Becomes standby for a data centre that needs one, and begins to leave its
   group again once one of the data centre's own instances stays connected.  */
static void
update_standby (mm_datacentres *dcs, membership *m, mm_time_ms now)
{
  mm_mesh_presence presence = mm_mesh_presence_in (dcs->mesh, m->datacentre);
  if (presence.staying)
    retire (dcs, m);
  if (m->partitions)
    return;
  /* This instance has links to only some instances of the data centre, so all
     are lost only when no untried one remains.  A loss is forgotten after
     MM_STANDBY_FORGET_MS, when the instances have been restarted or replaced.
     A standby is also needed when all connected instances are shutting down:
     they serve until they can hand over their partitions.  */
  bool all_closed = presence.connected == 0 && presence.untried == 0
                    && presence.closed_ms
                    && now - presence.closed_ms < MM_STANDBY_FORGET_MS;
  bool all_leaving = presence.connected && !presence.staying;
  mm_time_ms absent_for_ms = absent_ms (dcs, m, &presence, now);
  if (!all_closed && !all_leaving && absent_for_ms < MM_STANDBY_ABSENT_MS)
    {
      m->standby_needed_since_ms = 0;
      return;
    }
  if (!m->standby_needed_since_ms)
    m->standby_needed_since_ms = now;
  if (now - m->standby_needed_since_ms >= MM_STANDBY_AFTER_MS
      && is_chosen_standby (dcs, m))
    {
      mm_log_event (MM_EV_STANDBY, MM_TEXT (m->datacentre),
                    MM_INT (all_closed ? now - presence.closed_ms : 0),
                    MM_INT (absent_for_ms));
      join_group (dcs, m);
    }
}

void
mm_datacentres_set_members (mm_datacentres *dcs, mm_members *members)
{
  dcs->members = members;
}

void
mm_datacentres_set_transfer_runs (mm_datacentres *dcs, bool transfer_runs)
{
  dcs->transfer_runs = transfer_runs;
}

/* Counts and logs a change of the step of a handover of busy upstreams.  */
static void
record_step (membership *m, mm_handover_step step, const mm_handover_facts *f)
{
  if (step == m->step || (!f->busy && step == MM_HANDOVER_RELEASE))
    return;
  m->step = step;
  if (step == MM_HANDOVER_RELEASE)
    mm_metrics_count (MM_CT_HANDOVERS_TRANSFERRED);
  if (step == MM_HANDOVER_WAIT_RUNS && !m->waited)
    mm_metrics_count (MM_CT_HANDOVERS_WAITED);
  m->waited = m->waited || step == MM_HANDOVER_WAIT_RUNS;
  mm_log_event (
      MM_EV_HANDOVER, MM_TEXT (m->datacentre),
      MM_TEXT (mm_handover_step_name (step)), MM_INT (f->waited_ms),
      MM_INT (f->candidates), MM_INT (f->runs), MM_INT (f->open_starts),
      MM_INT (f->in_doubt), MM_INT (f->foreign), MM_INT (f->kept),
      MM_INT (f->unresponsive), MM_INT (f->unlinked), MM_INT (f->store_ms));
}

/* Adds the state of the links and of the store.  The next owner of a partition
   that is moved is an instance that has joined; the store does not name it.
   Of an instance that leaves, all others may be next owners.  */
static void
add_transfer_facts (mm_datacentres *dcs, const membership *m,
                    mm_handover_facts *f)
{
  mm_mesh_require_links_in (dcs->mesh, m->datacentre);
  mm_mesh_links links = mm_mesh_links_in (dcs->mesh, m->datacentre);
  f->transfer_runs = true;
  f->store_ms = mm_partitions_answer_ms (m->partitions);
  f->store_busy = mm_partitions_is_calling (m->partitions);
  f->unlinked = links.unlinked;
  f->candidates = m->retiring ? links.linked : links.joined;
}

/* Returns the next step of the handover of partitions that are being released,
   or that a leaving member has.  */
static mm_handover_step
advance_handover (mm_datacentres *dcs, membership *m, mm_time_ms now)
{
  if (!m->handover_since_ms)
    {
      m->handover_since_ms = now;
      m->waited = false;
      m->step = MM_HANDOVER_WAIT_LINKS;
    }
  mm_handover_facts f = { .waited_ms = now - m->handover_since_ms };
  if (dcs->transfer_runs)
    add_transfer_facts (dcs, m, &f);
  mm_handover_step step = dcs->ev.advance (dcs->ev.ctx, m->datacentre, &f);
  if (dcs->transfer_runs)
    record_step (m, step, &f);
  return step;
}

/* Releases partitions or leaves the group once the handover of their upstreams
   allows that, and calls the store when a call is due.  A standby's membership
   ends once the store has confirmed the leave call.  */
static void
tick_membership (mm_datacentres *dcs, membership *m, mm_time_ms now)
{
  bool releasing = mm_partitions_releasing (m->partitions);
  bool release = false;
  if (releasing || m->retiring)
    release = advance_handover (dcs, m, now) == MM_HANDOVER_RELEASE;
  else
    m->handover_since_ms = 0;
  if (releasing && release)
    mm_partitions_release (m->partitions);
  if (m->retiring && (release || now - m->retiring_since_ms > MM_HANDOVER_MS))
    mm_partitions_leave (m->partitions);
  mm_partitions_tick (m->partitions);
  if (!mm_partitions_has_left (m->partitions) || m->own)
    return;
  /* Keeps the sum of all changes from falling when the membership ends.  */
  dcs->changes += 1 + mm_partitions_changes (m->partitions);
  mm_partitions_destroy (m->partitions);
  m->partitions = NULL;
}

/* While this instance shuts down: begins to leave a group when another
   instance can take its partitions over, and otherwise goes on serving as long
   as possible.  In a rolling restart of all instances, upstreams would have no
   owner for seconds if each instance released its partitions at once.  */
static void
update_leaving (mm_datacentres *dcs, membership *m, mm_time_ms now)
{
  if (!m->partitions || m->retiring)
    return;
  mm_mesh_presence presence = mm_mesh_presence_in (dcs->mesh, m->datacentre);
  bool is_alone
      = mm_mesh_connected (dcs->mesh) == 0 && now >= dcs->alone_after_ms;
  if (presence.staying || is_alone || now >= dcs->release_by_ms
      || !MM_WITH_SERVE_ON)
    retire (dcs, m);
}

void
mm_datacentres_tick (mm_datacentres *dcs)
{
  mm_time_ms now = mm_clock_now_ms ();
  bool check_standby
      = MM_WITH_STANDBY && now - dcs->checked_ms >= MM_STANDBY_CHECK_MS;
  if (check_standby)
    dcs->checked_ms = now;
  for (size_t i = 0; i < dcs->n_memberships; i++)
    {
      membership *m = &dcs->memberships[i];
      if (dcs->leaving)
        update_leaving (dcs, m, now);
      else if (!m->own && check_standby)
        update_standby (dcs, m, now);
      if (m->partitions)
        tick_membership (dcs, m, now);
    }
}

/* Returns the membership in the group of an upstream's data centre, or NULL
   when this instance is not a member.  */
static membership *
membership_of (const mm_datacentres *dcs, const mm_upstream_info *u)
{
  for (size_t i = 0; i < dcs->n_memberships; i++)
    if (strcmp (dcs->memberships[i].datacentre, u->datacentre) == 0)
      return dcs->memberships[i].partitions ? &dcs->memberships[i] : NULL;
  return NULL;
}

mm_partition_state
mm_datacentres_upstream_state (const mm_datacentres *dcs,
                               const mm_upstream_info *u, uint64_t *fence)
{
  *fence = 0;
  const membership *m = membership_of (dcs, u);
  if (!m)
    return MM_PARTITION_ELSEWHERE;
  mm_partition_state state
      = mm_partitions_upstream_state (m->partitions, u->name, fence);
  return state == MM_PARTITION_OWNED && m->retiring ? MM_PARTITION_RELEASING
                                                    : state;
}

void
mm_datacentres_renew_fence (mm_datacentres *dcs, const mm_upstream_info *u)
{
  membership *m = membership_of (dcs, u);
  if (m)
    mm_partitions_renew_upstream_fence (m->partitions, u->name);
}

void
mm_datacentres_leave (mm_datacentres *dcs, mm_time_ms alone_after_ms,
                      mm_time_ms release_by_ms)
{
  dcs->leaving = true;
  dcs->alone_after_ms = alone_after_ms;
  dcs->release_by_ms = release_by_ms;
}

void
mm_datacentres_poll_now (mm_datacentres *dcs, const char *group)
{
  for (size_t i = 0; i < dcs->n_memberships; i++)
    if (dcs->memberships[i].partitions
        && strcmp (dcs->memberships[i].group, group) == 0)
      mm_partitions_poll_now (dcs->memberships[i].partitions);
}

bool
mm_datacentres_has_left (const mm_datacentres *dcs)
{
  for (size_t i = 0; i < dcs->n_memberships; i++)
    if (dcs->memberships[i].partitions
        && !mm_partitions_has_left (dcs->memberships[i].partitions))
      return false;
  return true;
}

bool
mm_datacentres_owns_any (const mm_datacentres *dcs)
{
  for (size_t i = 0; i < dcs->n_memberships; i++)
    if (dcs->memberships[i].partitions
        && mm_partitions_owns_any (dcs->memberships[i].partitions))
      return true;
  return false;
}

bool
mm_datacentres_confirmed (const mm_datacentres *dcs)
{
  mm_time_ms oldest_ms = mm_clock_now_ms () - MM_GROUP_CONFIRMED_MS;
  for (size_t i = 0; i < dcs->n_memberships; i++)
    if (dcs->memberships[i].partitions
        && mm_partitions_confirmed_ms (dcs->memberships[i].partitions)
               < oldest_ms)
      return false;
  return true;
}

uint64_t
mm_datacentres_changes (const mm_datacentres *dcs)
{
  uint64_t sum = dcs->changes;
  for (size_t i = 0; i < dcs->n_memberships; i++)
    if (dcs->memberships[i].partitions)
      sum += mm_partitions_changes (dcs->memberships[i].partitions);
  return sum;
}

uint64_t
mm_datacentres_generation (const mm_datacentres *dcs)
{
  uint64_t sum = 0;
  for (size_t i = 0; i < dcs->n_memberships; i++)
    if (dcs->memberships[i].partitions)
      sum += mm_partitions_generation (dcs->memberships[i].partitions);
  return sum;
}
