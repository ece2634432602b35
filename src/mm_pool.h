/* mm_pool: the entry instance's view of its upstreams.  Internal.  */
#ifndef MM_POOL_H
#define MM_POOL_H

#include "masticmill.h"

typedef enum
{
  MM_UPSTREAM_LIVE,    /* takes new work */
  MM_UPSTREAM_LEAVING, /* drains: no new work, answers still awaited */
  MM_UPSTREAM_EJECTED, /* failed too often: no new work for a while */
  MM_UPSTREAM_ON_TRIAL /* after that: one task at a time until one is done */
} mm_upstream_state;

typedef enum
{
  MM_OUTCOME_OK,          /* it ran and answered */
  MM_OUTCOME_FAILED,      /* it ran and failed */
  MM_OUTCOME_REFUSED,     /* refused before start (draining) */
  MM_OUTCOME_FENCED,      /* refused before start: the job has a new owner */
  MM_OUTCOME_UNREACHABLE, /* never reached: not sent */
  MM_OUTCOME_LOST         /* sent, no answer: outcome unknown */
} mm_outcome;

typedef struct
{
  char *name;         /* member name, or the address when static */
  char *url;          /* "http://host:port" */
  uint32_t slots;     /* its slots */
  uint32_t in_flight; /* tasks sent, not answered */
  mm_upstream_state state;
  uint32_t failures_in_row;
  uint32_t ejections; /* in a row, each longer than the last */
  mm_time_ms ejected_until_ms;
  int64_t state_seq;      /* upstream's mode_seq the state came from */
  int64_t boot_ms;        /* names its incarnation, 0 when not told */
  bool listed;            /* in the last member list, or given by settings */
  mm_time_ms unlisted_ms; /* when it vanished from the list */
} mm_pool_member;

typedef struct mm_pool mm_pool;
mm_pool *mm_pool_create (uint32_t default_slots);
void mm_pool_destroy (mm_pool *p);
int mm_pool_add (mm_pool *p, const char *name, const char *addr,
                 uint32_t slots, int64_t boot_ms);    /* or refresh; index */
void mm_pool_list_begin (mm_pool *p, mm_time_ms now); /* a whole list */
void mm_pool_list_end (mm_pool *p);                   /* has been added */
bool mm_pool_listed_within (const mm_pool *p, int i, mm_time_ms now,
                            mm_time_ms ttl_ms);  /* may know of old jobs */
uint64_t mm_pool_fingerprint (const mm_pool *p); /* listed upstreams */
bool mm_pool_covers (const mm_pool *p, GHashTable *hashes,
                     uint64_t fingerprint); /* did all of them report? */
uint64_t mm_pool_fingerprint_of (const char *name, int64_t boot_ms);
int mm_pool_find (const mm_pool *p, const char *name); /* index or -1 */
void mm_pool_set_state (mm_pool *p, int i, mm_upstream_state s,
                        int64_t seq);          /* newer seq wins */
int mm_pool_pick (mm_pool *p, mm_time_ms now); /* -1 when none free */
void mm_pool_sent (mm_pool *p, int i);         /* a task went out */
bool mm_pool_done (mm_pool *p, int i, mm_outcome o, int64_t seq,
                   mm_time_ms now, uint32_t eject_after, mm_time_ms eject_ms);
void mm_pool_doubt (mm_pool *p, int i); /* a peer ejected it */
uint32_t mm_pool_size (const mm_pool *p);
const mm_pool_member *mm_pool_at (const mm_pool *p, int i);
uint32_t mm_pool_free_slots (const mm_pool *p, mm_time_ms now); /* live */
uint32_t mm_pool_live_slots (const mm_pool *p, mm_time_ms now); /* all */

#endif /* MM_POOL_H */
