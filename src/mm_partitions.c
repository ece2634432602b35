/* mm_partitions: membership in a group whose partitions the store assigns.

   A partition is handed over in two steps.  First, the store no longer lists
   the partition for this instance.  Then, once this instance joins with the
   generation of that list, the store assigns the partition to another member.
   In between, this instance lets the running tasks end, and starts none that
   would end after them.  The fencing token of a partition at the upstreams is
   the generation since which this instance has certainly held the partition:
   higher than the token of any earlier owner.

   While the store is unreachable, this instance keeps its partitions.  If the
   store has assigned them to another member meanwhile, the new owner's higher
   token stops this instance at the upstreams.

   A handover cannot end without the store, and until it ends no other member
   gets the partitions.  As long as the join that releases them has not been
   sent, or the store has answered that it did nothing, the handover is
   deferred while the store does not answer, and begins again once it does.
   While the store may have carried that join out, no task is started.  */
#include "mm_partitions.h"

#include "config.h"
#include "mm_event.h"
#include "mm_metrics.h"

#include <string.h>
#include <xxhash.h>

typedef struct
{
  uint64_t fence;    /* fencing token; 0: not owned by this instance */
  bool is_releasing; /* owned, but no longer listed for this instance */
  bool is_released;  /* released, but the store may not know it yet */
} partition;

struct mm_partitions
{
  int refs;    /* one of the creator, one of the call in flight */
  bool closed; /* destroyed, and kept until the call in flight ends */
  mm_store_port port;
  char *group;
  char *member; /* member name of this instance */
  partition *partitions;
  uint32_t n_partitions;
  uint64_t listed_generation;    /* generation in the last answer */
  uint64_t confirmed_generation; /* generation that the next join confirms */
  mm_time_ms releasing_since_ms; /* 0: no partition is being released */
  bool in_flight;                /* a call has not been answered yet */
  bool in_contact;               /* the last join succeeded */
  mm_time_ms call_sent_ms;       /* when the last call was sent */
  mm_time_ms answer_ms;          /* how long that join took */
  mm_time_ms confirmed_ms; /* when the last join that succeeded was sent */
  bool leaving;            /* mm_partitions_leave() was called */
  bool has_left;           /* the store has confirmed the leave call */
  mm_time_ms next_call_ms; /* when the next call is due */
  uint64_t changes;        /* changes of partition states so far */
  mm_time_ms created_ms;   /* when this object was created */
  mm_time_ms early_ms;     /* when a call last went without its usual pause */
  bool release_pending; /* no join has handed over released partitions yet */
  bool release_sent;    /* the call in flight hands them over */
  /* The release is not reverted: a call without an answer may have done it,
     or tasks that ran there were given up.  */
  bool release_final;
  uint64_t held_generation; /* confirmed_generation before the release */
  bool defers_in_outages;   /* handovers are deferred in outages */
  bool deferred;            /* the handover under way is deferred */
  mm_partitions_events ev;
};

static void
partitions_unref (mm_partitions *set)
{
  if (--set->refs > 0)
    return;
  g_free (set->group);
  g_free (set->member);
  g_free (set->partitions);
  g_free (set);
}

mm_partitions *
mm_partitions_create (const mm_store_port *port, const char *group,
                      const char *member, uint32_t n_partitions)
{
  mm_partitions *set = g_new0 (mm_partitions, 1);
  set->refs = 1;
  set->port = *port;
  set->group = g_strdup (group);
  set->member = g_strdup (member);
  set->n_partitions = n_partitions;
  set->partitions = g_new0 (partition, n_partitions);
  set->created_ms = mm_clock_now_ms ();
  return set;
}

void
mm_partitions_destroy (mm_partitions *set)
{
  if (!set)
    return;
  set->closed = true;
  partitions_unref (set);
}

/* Returns whether partition @index is assigned to this instance in @res.  */
static bool
is_assigned_in (const mm_join_result *res, uint32_t index)
{
  for (size_t i = 0; i < res->n_partitions; i++)
    if (res->partitions[i] == index)
      return true;
  return false;
}

/* Makes the next tick confirm a generation that the store's answers have
   skipped to.  Partitions may have been assigned to this instance and then to
   another one in generations that it has not seen; the other one gets them
   only once this instance has confirmed.  While many instances join, each
   answer has a new generation: one call a heartbeat is early.  */
static void
confirm_unseen (mm_partitions *set)
{
  mm_time_ms now = mm_clock_now_ms ();
  if (!set->listed_generation || now - set->early_ms < MM_GROUP_HEARTBEAT_MS)
    return; /* a first join has nothing to give up */
  set->early_ms = now;
  set->next_call_ms = 0;
}

/* Applies the store's list of partitions that are assigned to this instance.
   An owned partition that is not listed any more is releasing from now on.
   If the list skips a generation, another member may have held any partition
   in between, even one that was listed before and is listed again: this
   instance's membership may have expired meanwhile, or the store may have
   reassigned the partitions twice.  So may a partition have been held that the
   last list did not have.  Such a partition gets a new fencing token.  */
static void
apply_assignment (mm_partitions *set, const mm_join_result *res)
{
  uint32_t n_owned = 0, n_releasing = 0;
  bool skipped = res->generation != set->listed_generation + 1;
  set->changes++;
  for (uint32_t i = 0; i < set->n_partitions; i++)
    {
      partition *p = &set->partitions[i];
      bool is_assigned = is_assigned_in (res, i);
      if (is_assigned && (!p->fence || skipped || p->is_releasing))
        p->fence = res->generation;
      p->is_releasing = p->fence && !is_assigned;
      p->is_released = p->is_released && !is_assigned;
      n_owned += is_assigned;
      n_releasing += p->is_releasing;
    }
  mm_metrics_count (MM_CT_OWNERSHIP_CHANGES);
  mm_log_event (MM_EV_GROUP_CHANGED, MM_TEXT (set->group),
                MM_INT (res->generation), MM_INT (n_owned),
                MM_INT (n_releasing));
  /* The next join confirms the new generation, unless partitions have to be
     released first.  */
  if (!n_releasing)
    set->confirmed_generation = res->generation;
  else if (!set->releasing_since_ms)
    set->releasing_since_ms = mm_clock_now_ms ();
  if (!n_releasing && skipped)
    confirm_unseen (set);
  set->listed_generation = res->generation;
  if (set->ev.changed)
    set->ev.changed (set->ev.ctx);
}

static void
notify_released (const mm_partitions *set)
{
  if (set->ev.released && !set->closed)
    set->ev.released (set->ev.ctx, set->group);
}

/* Ends the release of partitions, which the store has confirmed.  */
static void
finish_release (mm_partitions *set)
{
  for (uint32_t i = 0; i < set->n_partitions; i++)
    if (set->partitions[i].is_released)
      set->partitions[i] = (partition){ 0 };
  set->release_pending = set->release_final = false;
  set->changes++;
  notify_released (set);
  if (set->ev.changed && !set->closed)
    set->ev.changed (set->ev.ctx);
}

/* Takes back the release of partitions, which the store has not carried out.
   Until they are released again, joins confirm the generation before.  */
static void
revert_release (mm_partitions *set)
{
  if (!set->defers_in_outages || !set->release_pending || set->release_final)
    return;
  for (uint32_t i = 0; i < set->n_partitions; i++)
    set->partitions[i].is_released = false;
  set->release_pending = false;
  set->confirmed_generation = set->held_generation;
  set->releasing_since_ms = mm_clock_now_ms ();
  set->changes++;
}

/* Handles the outcome of a join while partitions are released.  Only a join
   that was sent after the release hands them over.  */
static void
update_release (mm_partitions *set, const mm_join_result *res)
{
  if (set->release_sent && res->ok)
    finish_release (set);
  if (set->release_sent && !res->ok && !res->nothing_done)
    set->release_final = true;
  set->release_sent = false;
  if (!res->ok)
    revert_release (set);
}

/* Defers the handover under way while the store does not answer.  It has its
   full time again after calls have failed.  */
static void
update_deferral (mm_partitions *set, mm_time_ms now)
{
  bool overdue
      = set->in_flight && now - set->call_sent_ms > MM_GROUP_ANSWER_MS;
  if (set->defers_in_outages && !set->in_contact && set->releasing_since_ms)
    set->releasing_since_ms = now;
  bool deferred = set->defers_in_outages && set->releasing_since_ms
                  && (!set->in_contact || overdue);
  if (deferred == set->deferred)
    return;
  set->deferred = deferred;
  set->changes++;
  if (set->ev.changed)
    set->ev.changed (set->ev.ctx);
}

/* Handles the answer to a join, which lists this instance's partitions.  */
static void
on_joined (const mm_join_result *res, void *ctx)
{
  mm_partitions *set = ctx;
  set->in_flight = false;
  mm_metrics_count (res->ok ? MM_CT_JOIN_OK : MM_CT_JOIN_FAILED);
  mm_metrics_time (MM_HG_JOIN_CALL, mm_clock_now_ms () - set->call_sent_ms);
  if (!set->closed)
    mm_store_record_contact (&set->in_contact, res->ok, set->group, res->why);
  if (res->ok)
    {
      set->confirmed_ms = set->call_sent_ms;
      set->answer_ms = mm_clock_now_ms () - set->call_sent_ms;
    }
  if (set->release_pending)
    update_release (set, res);
  if (!set->closed && !set->leaving)
    update_deferral (set, mm_clock_now_ms ());
  if (!set->closed && res->ok && !set->leaving
      && res->generation != set->listed_generation)
    {
      apply_assignment (set, res);
    }
  partitions_unref (set);
}

static void
on_left (const mm_join_result *res, void *ctx)
{
  mm_partitions *set = ctx;
  set->in_flight = false;
  set->has_left = set->has_left || res->ok;
  if (res->ok)
    notify_released (set);
  partitions_unref (set);
}

/* Returns the time between joins.  A joining instance that owns no partition
   polls fast: it may get the partitions of a dead instance one call after that
   instance's removal from the group, and until then no instance can start
   tasks on the upstreams of these partitions.  */
static mm_time_ms
join_interval_ms (const mm_partitions *set, mm_time_ms now)
{
  bool fast_poll = !mm_partitions_owns_any (set)
                   && now - set->created_ms < MM_GROUP_FAST_POLL_FOR_MS;
  return fast_poll ? MM_GROUP_FAST_POLL_MS : MM_GROUP_HEARTBEAT_MS;
}

/* Releases partitions.  @revertible: nothing runs there, so that they are
   kept until the store has confirmed the release.  */
static void
release (mm_partitions *set, bool revertible)
{
  if (set->deferred || (set->defers_in_outages && set->in_flight))
    return;
  for (uint32_t i = 0; i < set->n_partitions; i++)
    if (set->partitions[i].is_releasing && revertible)
      set->partitions[i].is_released = true;
    else if (set->partitions[i].is_releasing)
      set->partitions[i] = (partition){ 0 };
  set->releasing_since_ms = 0;
  set->changes++;
  if (!set->release_pending)
    set->held_generation = set->confirmed_generation;
  set->confirmed_generation = set->listed_generation;
  set->release_pending = true;
  set->release_final = set->release_final || !revertible;
  set->next_call_ms = 0;
}

void
mm_partitions_tick (mm_partitions *set)
{
  mm_time_ms now = mm_clock_now_ms ();
  update_deferral (set, now);
  /* A handover waits for running tasks no longer than MM_HANDOVER_MS.  */
  if (set->releasing_since_ms
      && now - set->releasing_since_ms > MM_HANDOVER_MS)
    release (set, false);
  if (set->in_flight || set->has_left || now < set->next_call_ms)
    return;
  set->in_flight = true;
  set->call_sent_ms = now;
  set->release_sent = set->release_pending && !set->leaving;
  set->next_call_ms = now + join_interval_ms (set, now);
  set->refs++;
  if (set->leaving)
    set->port.leave (set->port.ctx, set->group, set->member,
                     MM_STORE_TIMEOUT_MS, on_left, set);
  else
    set->port.join (set->port.ctx, set->group, set->member,
                    set->confirmed_generation, MM_GROUP_TTL_MS,
                    MM_STORE_TIMEOUT_MS, on_joined, set);
}

void
mm_partitions_leave (mm_partitions *set)
{
  if (set->leaving)
    return;
  set->leaving = true;
  set->changes++;
  set->next_call_ms = 0;
  memset (set->partitions, 0, set->n_partitions * sizeof *set->partitions);
}

void
mm_partitions_set_events (mm_partitions *set, const mm_partitions_events *ev)
{
  set->ev = *ev;
}

void
mm_partitions_poll_now (mm_partitions *set)
{
  set->next_call_ms = 0;
}

bool
mm_partitions_has_left (const mm_partitions *set)
{
  return set->has_left;
}

uint32_t
mm_partitions_index_of (const char *upstream, uint32_t n_partitions)
{
  return (uint32_t)(XXH3_64bits (upstream, strlen (upstream)) % n_partitions);
}

static partition *
partition_of (const mm_partitions *set, const char *upstream)
{
  return &set->partitions[mm_partitions_index_of (upstream,
                                                  set->n_partitions)];
}

static mm_partition_state
state_of (const mm_partitions *set, const partition *p, uint64_t *fence)
{
  *fence = p->fence;
  if (!p->fence)
    return MM_PARTITION_ELSEWHERE;
  if (p->is_released)
    return MM_PARTITION_RELEASED;
  return p->is_releasing && !set->deferred ? MM_PARTITION_RELEASING
                                           : MM_PARTITION_OWNED;
}

mm_partition_state
mm_partitions_upstream_state (const mm_partitions *set, const char *upstream,
                              uint64_t *fence)
{
  return state_of (set, partition_of (set, upstream), fence);
}

mm_partition_state
mm_partitions_state (const mm_partitions *set, uint32_t index, uint64_t *fence)
{
  return state_of (set, &set->partitions[index], fence);
}

mm_time_ms
mm_partitions_confirmed_ms (const mm_partitions *set)
{
  return set->confirmed_ms;
}

mm_time_ms
mm_partitions_answer_ms (const mm_partitions *set)
{
  if (!set->in_contact || !set->confirmed_ms)
    return -1;
  return set->in_flight
             ? MAX (set->answer_ms, mm_clock_now_ms () - set->call_sent_ms)
             : set->answer_ms;
}

bool
mm_partitions_is_calling (const mm_partitions *set)
{
  return set->in_flight;
}

/* Raises the fencing token of an owned partition to the generation in the last
   answer of the store.  */
static void
renew_fence (mm_partitions *set, partition *p)
{
  if (p->fence && !p->is_releasing && p->fence < set->listed_generation)
    {
      p->fence = set->listed_generation;
      set->changes++;
    }
}

void
mm_partitions_renew_upstream_fence (mm_partitions *set, const char *upstream)
{
  renew_fence (set, partition_of (set, upstream));
}

void
mm_partitions_renew_fence (mm_partitions *set, uint32_t index)
{
  renew_fence (set, &set->partitions[index]);
}

void
mm_partitions_defer_in_outages (mm_partitions *set)
{
  set->defers_in_outages = true;
}

/**
 * mm_partitions_release() - hand over the partitions that are being released.
 * @set: the partitions.
 *
 * Does nothing while the handover is deferred.  With
 * mm_partitions_defer_in_outages() it does nothing either while a call is in
 * flight: the release is sent with the next tick or not at all.
 */
void
mm_partitions_release (mm_partitions *set)
{
  release (set, set->defers_in_outages);
}

bool
mm_partitions_releasing (const mm_partitions *set)
{
  return set->releasing_since_ms && !set->deferred;
}

bool
mm_partitions_owns_any (const mm_partitions *set)
{
  for (uint32_t i = 0; i < set->n_partitions; i++)
    if (set->partitions[i].fence)
      return true;
  return false;
}

uint64_t
mm_partitions_changes (const mm_partitions *set)
{
  return set->changes;
}

uint64_t
mm_partitions_generation (const mm_partitions *set)
{
  return set->listed_generation;
}
