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
void mm_shard_accept (mm_shard *s, const char *job_id, mm_accept_cb done,
                      void *ctx); /* take the shard, record the job */
void mm_shard_superseded (mm_shard *s, int64_t epoch); /* higher epoch seen */
void mm_shard_cancel (mm_shard *s, void *ctx); /* no answer is wanted */
typedef void (*mm_shard_verify_cb) (bool owned, void *ctx);
void mm_shard_verify (mm_shard *s, mm_shard_verify_cb done,
                      void *ctx); /* check ownership with the log */
void mm_shard_take (mm_shard *s,
                    bool only_if_released); /* before jobs arrive */
bool mm_shard_owned (const mm_shard *s);    /* by this instance */
void mm_shard_add_accepted (mm_shard *s, const char *job_id,
                            uint64_t fingerprint); /* a job that moved away */
bool mm_shard_accepted_before (const mm_shard *s, const char *job_id);
/* Returns whether the previous owner had not released the shard.  */
bool mm_shard_unclean_takeover (const mm_shard *s);
/* Returns whether an outage in the previous owner's time may be unknown.  */
bool mm_shard_unobserved (const mm_shard *s);
/* Returns whether this instance was fenced less than MM_SHARD_HOLD_DOWN_MS
   ago.  */
bool mm_shard_recently_fenced (const mm_shard *s, mm_time_ms now);
const char *mm_shard_owner (const mm_shard *s); /* last known owner, or NULL */
void mm_shard_end_hold_down (mm_shard *s);      /* allow a take at once */
void mm_shard_retry (mm_shard *s);              /* repeat a failed call */
void mm_shard_serve_unrecorded (mm_shard *s);   /* start without records */
void mm_shard_redirect_waiting (mm_shard *s,
                                const char *target); /* answer all MOVED */
bool mm_shard_has_waiting (const mm_shard *s);       /* accepts pending */
void mm_shard_release (mm_shard *s);                 /* graceful handover */
/* Returns the number of accepted jobs that are not stored here.  */
uint32_t mm_shard_accepted_count (const mm_shard *s);

#endif /* MM_SHARD_H */
