/* mm_shard: one shard of a data centre's jobs, owned by one entry instance
   at a time.  The shard's stream in the platform's log decides which instance
   owns it: a new owner reads which jobs were accepted before and raises the
   stream's epoch, a fencing token, so that the log refuses appends of the
   previous owner.  Internal.  */
#ifndef MM_SHARD_H
#define MM_SHARD_H

#include "masticmill.h"

/* The outcome of mm_shard_accept() for a job.  */
typedef enum
{
  /* The log has the accept record now, and lists no earlier one.  */
  MM_ACCEPT_RECORDED,
  /* An earlier accept is known: recover the job, as tasks may have run.  */
  MM_ACCEPT_KNOWN,
  /* The log has no record, as the platform is out: the instance must ask the
     upstreams about the job before it starts tasks.  */
  MM_ACCEPT_UNRECORDED,
  /* This instance may not run the job: it does not own the shard.  */
  MM_ACCEPT_MOVED
} mm_accept_verdict;

/* The answer to mm_shard_accept().  */
typedef struct
{
  mm_accept_verdict verdict;
  int64_t epoch; /* of this owner; sent to upstreams with each start */
  /* With MM_ACCEPT_KNOWN, mm_pool_list_fingerprint() at the earlier accept,
     0 when the record has none.  */
  uint64_t fingerprint;
  /* With MM_ACCEPT_MOVED, member name of the owner, or NULL when it is not
     known; valid during the callback.  */
  const char *shard_owner;
} mm_accept;

typedef void (*mm_accept_cb) (const mm_accept *a, void *ctx);

/* The settings and callbacks that all shards of an instance share.  */
typedef struct
{
  struct ev_loop *loop;
  mm_http_client *http;
  mm_counters *counters;
  char *platform_url;
  char *datacentre;
  char *self;                    /* this instance's member name */
  char *incarnation;             /* "name#start", one per process */
  mm_time_ms ttl_ms;             /* older accepted jobs are dropped */
  mm_time_ms accept_interval_ms; /* least time between accept records */
  /* Returns the fingerprint of the upstreams that are listed now.  */
  uint64_t (*fingerprint) (void *ctx);
  /* Returns whether an instance that is alive now was already up in the time
     of a previous owner, so that it knows of outages in that time.  */
  bool (*observed_before) (void *ctx);
  /* Called when a call to the log has ended.  @ok: the platform answered.  */
  void (*contact) (bool ok, void *ctx);
  /* Returns whether no instance reaches the log.  */
  bool (*outage) (void *ctx);
  void *ctx; /* of the callbacks */
} mm_shard_env;

typedef struct mm_shard mm_shard;
mm_shard *mm_shard_create (const mm_shard_env *env, uint32_t index);
void mm_shard_destroy (mm_shard *s);
/* Records in the log that this instance runs a job, before any task of it
   starts.  Takes the shard first if this instance does not own it.  @done is
   called once, possibly before this function returns.  */
void mm_shard_accept (mm_shard *s, const char *job_id, mm_accept_cb done,
                      void *ctx);
/* Gives the shard up if @epoch is higher than this instance's epoch, or 0: a
   higher one exists, but is not known.  */
void mm_shard_superseded (mm_shard *s, int64_t epoch);
/* Cancels the mm_shard_accept() that was given @ctx; its @done is not
   called.  */
void mm_shard_cancel (mm_shard *s, void *ctx);
typedef void (*mm_shard_verify_cb) (bool owned, void *ctx);
/* Asks the log whether this instance still owns the shard; the answer is false
   too when the log does not reply in time.  */
void mm_shard_verify (mm_shard *s, mm_shard_verify_cb done, void *ctx);
/* Takes the shard before jobs arrive.  @only_if_released: not from an owner
   that has not released it, unless jobs are waiting here.  */
void mm_shard_take (mm_shard *s, bool only_if_released);
bool mm_shard_owned (const mm_shard *s); /* by this instance */
/* Adds a job that this instance accepted and that has moved to another one, so
   that it is recovered if it comes back.  */
void mm_shard_add_accepted (mm_shard *s, const char *job_id,
                            uint64_t fingerprint);
/* Returns whether an earlier owner accepted the job, or this instance did and
   it has moved away since.  */
bool mm_shard_accepted_before (const mm_shard *s, const char *job_id);
/* Returns whether the previous owner had not released the shard.  */
bool mm_shard_unclean_takeover (const mm_shard *s);
/* Returns whether an outage in the previous owner's time may be unknown.  */
bool mm_shard_unobserved (const mm_shard *s);
/* Returns whether this instance was fenced less than MM_SHARD_HOLD_DOWN_MS
   ago.  */
bool mm_shard_recently_fenced (const mm_shard *s, mm_time_ms now);
const char *mm_shard_owner (const mm_shard *s); /* last known owner, or NULL */
/* Lets this instance take the shard again before MM_SHARD_HOLD_DOWN_MS are
   over, as the instance that took it is gone.  */
void mm_shard_end_hold_down (mm_shard *s);
void mm_shard_retry (mm_shard *s); /* repeats a call to the log that failed */
/* Answers the waiting jobs with MM_ACCEPT_UNRECORDED, in an outage.  */
void mm_shard_serve_unrecorded (mm_shard *s);
/* Answers the waiting jobs with MM_ACCEPT_MOVED and the owner @target, which
   may be NULL.  */
void mm_shard_redirect_waiting (mm_shard *s, const char *target);
/* Returns whether a job waits for the answer of mm_shard_accept().  */
bool mm_shard_has_waiting (const mm_shard *s);
/* Releases the shard, so that the next owner knows that no job is missing in
   the log.  */
void mm_shard_release (mm_shard *s);
/* Returns the number of accepted jobs that are not stored here.  */
uint32_t mm_shard_accepted_count (const mm_shard *s);

#endif /* MM_SHARD_H */
