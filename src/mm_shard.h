/* mm_shard: one shard of a data centre's jobs, owned by one entry instance
   at a time.  The shard's stream in the platform's log decides which: a new
   owner reads which jobs were accepted before and raises the stream's
   epoch, so that the log refuses appends of the previous owner.
   Internal.  */
#ifndef MM_SHARD_H
#define MM_SHARD_H

#include "masticmill.h"

typedef enum
{
  MM_ACCEPT_RECORDED,   /* recorded; no instance accepted it before */
  MM_ACCEPT_KNOWN,      /* accepted before: recover it */
  MM_ACCEPT_UNRECORDED, /* allowed by mm_shard_serve_unrecorded() */
  MM_ACCEPT_MOVED       /* another instance owns the shard now */
} mm_accept_verdict;

typedef struct
{
  mm_accept_verdict verdict;
  int64_t epoch;        /* of this instance; sent with each start */
  uint64_t fingerprint; /* KNOWN: of the upstreams listed at acceptance */
  const char *holder;   /* MOVED: name of the owner, or NULL */
} mm_accept;

typedef void (*mm_accept_cb) (const mm_accept *a, void *ctx);

/* What all shards of an instance share.  */
typedef struct
{
  struct ev_loop *loop;
  mm_http_client *http;
  mm_counters *counters;
  char *platform_url;
  char *datacentre;
  char *self;                           /* this instance's member name */
  char *incarnation;                    /* "name#start", one per process */
  mm_time_ms ttl_ms;                    /* older accepted jobs are dropped */
  mm_time_ms accept_interval_ms;        /* least time between accept records */
  uint64_t (*fingerprint) (void *ctx);  /* of the upstreams listed now */
  bool (*observed_before) (void *ctx);  /* a live instance was up before */
  void (*contact) (bool ok, void *ctx); /* a call to the log ended */
  bool (*outage) (void *ctx);           /* no instance reaches the log */
  void *ctx;
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
bool mm_shard_owned (const mm_shard *s);
void mm_shard_add_accepted (mm_shard *s, const char *job_id,
                            uint64_t fingerprint); /* accepted, moved away */
bool mm_shard_accepted_before (const mm_shard *s, const char *job_id);
bool mm_shard_unclean_takeover (const mm_shard *s); /* not released before */
bool mm_shard_unobserved (const mm_shard *s);       /* outage may be unknown */
/* Returns whether this instance was fenced less than MM_SHARD_HOLD_DOWN_MS
   ago.  */
bool mm_shard_recently_fenced (const mm_shard *s, mm_time_ms now);
const char *mm_shard_owner (const mm_shard *s); /* last known owner, or NULL */
void mm_shard_end_hold_down (mm_shard *s); /* may take it over again at once */
void mm_shard_retry (mm_shard *s);         /* after a failed call */
void mm_shard_serve_unrecorded (mm_shard *s); /* start without records */
void mm_shard_redirect_waiting (mm_shard *s,
                                const char *target); /* answer all MOVED */
bool mm_shard_has_waiting (const mm_shard *s);       /* accepts pending */
void mm_shard_release (mm_shard *s);                 /* graceful handover */
uint32_t mm_shard_accepted_count (const mm_shard *s);

#endif /* MM_SHARD_H */
