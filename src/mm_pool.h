/* mm_pool: the upstreams that an entry instance knows, their states and their
   tasks in flight.  Internal.  */
#ifndef MM_POOL_H
#define MM_POOL_H

#include "masticmill.h"

typedef enum
{
  MM_UPSTREAM_LIVE,    /* accepts new tasks */
  MM_UPSTREAM_LEAVING, /* drains: gets no new tasks, answers are awaited */
  MM_UPSTREAM_EJECTED, /* failed too often: gets no new tasks for a while */
  /* Ejected before, here or at a peer: gets one task at a time until one is
     done.  */
  MM_UPSTREAM_ON_TRIAL
} mm_upstream_state;

/* What became of a task that was given to an upstream.  */
typedef enum
{
  MM_OUTCOME_OK,          /* the task ran and is done */
  MM_OUTCOME_FAILED,      /* the task ran and failed */
  MM_OUTCOME_REFUSED,     /* refused before start (draining) */
  MM_OUTCOME_FENCED,      /* refused before start: the job has a new owner */
  MM_OUTCOME_UNREACHABLE, /* not sent: the upstream was not reached */
  MM_OUTCOME_LOST         /* sent, no answer: outcome unknown */
} mm_outcome;

/* An upstream as this instance knows it.  */
typedef struct
{
  char *name;         /* member name, or the address from the settings */
  char *url;          /* "http://host:port" */
  uint32_t slots;     /* tasks that it runs at the same time */
  uint32_t in_flight; /* tasks sent from here and not answered */
  mm_upstream_state state;
  uint32_t consecutive_failures; /* since the last task that was done */
  uint32_t ejections;            /* since the last task that was done */
  mm_time_ms ejected_until_ms;   /* end of the last ejection */
  int64_t state_seq;             /* the upstream's mode_seq behind the state */
  int64_t boot_ms;        /* identifies its incarnation, 0 when not known */
  bool listed;            /* in the last member list, or in the settings */
  mm_time_ms unlisted_ms; /* when it vanished from the member list */
} mm_pool_member;

typedef struct mm_pool mm_pool;
mm_pool *mm_pool_create (uint32_t default_slots);
void mm_pool_destroy (mm_pool *p);
/* Adds an upstream, or updates the one of that name, and returns its index,
   which stays the same.  @slots: 0 for the default.  */
int mm_pool_add (mm_pool *p, const char *name, const char *addr,
                 uint32_t slots, int64_t boot_ms);
/* Call it before the upstreams of a complete new member list are added: those
   that are not added again are not listed any more.  */
void mm_pool_list_begin (mm_pool *p, mm_time_ms now);
/* Call it after the upstreams of a member list were added: remembers the set
   of listed upstreams for mm_pool_all_reported().  */
void mm_pool_list_end (mm_pool *p);
/* Returns whether an upstream was listed within the last @ttl_ms.  */
bool mm_pool_listed_within (const mm_pool *p, int i, mm_time_ms now,
                            mm_time_ms ttl_ms);
/* Returns a hash of the set of upstream incarnations that are listed now.  */
uint64_t mm_pool_list_fingerprint (const mm_pool *p);
/* Returns whether @hashes, a set of mm_pool_incarnation_hash() values, holds
   all upstreams of the list that had @fingerprint.  */
bool mm_pool_all_reported (const mm_pool *p, GHashTable *hashes,
                           uint64_t fingerprint);
uint64_t mm_pool_incarnation_hash (const char *name, int64_t boot_ms);
int mm_pool_find (const mm_pool *p, const char *name); /* index or -1 */
/* Applies the state of an upstream in the member list, unless a newer one is
   known.  @seq: the upstream's mode_seq of that state.  */
void mm_pool_set_state (mm_pool *p, int i, mm_upstream_state s, int64_t seq);
/* Returns the upstream with the most free slots, or -1 when none has one.  */
int mm_pool_pick (mm_pool *p, mm_time_ms now);
void mm_pool_task_sent (mm_pool *p, int i); /* counts it as in flight */
/* Counts a task as ended and applies its outcome.  @seq: with
   MM_OUTCOME_REFUSED, the upstream's mode_seq.  @eject_after: failures in a
   row that eject the upstream.  @eject_ms: length of the first ejection.
   Returns whether this outcome ejected the upstream.  */
bool mm_pool_task_ended (mm_pool *p, int i, mm_outcome o, int64_t seq,
                         mm_time_ms now, uint32_t eject_after,
                         mm_time_ms eject_ms);
void mm_pool_put_on_trial (mm_pool *p, int i); /* a peer ejected it */
uint32_t mm_pool_size (const mm_pool *p);      /* upstreams ever added */
const mm_pool_member *mm_pool_at (const mm_pool *p, int i);
/* Return the free slots, or all slots, of the upstreams that accept tasks.  */
uint32_t mm_pool_free_slots (const mm_pool *p, mm_time_ms now);
uint32_t mm_pool_live_slots (const mm_pool *p, mm_time_ms now);

#endif /* MM_POOL_H */
