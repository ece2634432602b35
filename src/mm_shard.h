/* mm_shard: one shard of a data centre's jobs, owned by one entry
   instance at a time.  The shard's stream in the platform's log decides
   who: a new owner raises the stream's epoch, which shuts the old one
   out, then reads which jobs were accepted before it.  Internal.  */
#ifndef MM_SHARD_H
#define MM_SHARD_H

#include "masticmill.h"

typedef enum
{
  MM_ACCEPT_FRESH,      /* recorded; nobody accepted it before */
  MM_ACCEPT_KNOWN,      /* an earlier owner accepted it: recover it */
  MM_ACCEPT_UNRECORDED, /* allowed by mm_shard_serve_unrecorded() */
  MM_ACCEPT_MOVED       /* another instance owns the shard now */
} mm_accept_verdict;

typedef struct
{
  mm_accept_verdict verdict;
  int64_t epoch;        /* ours; starts carry it */
  uint64_t fingerprint; /* KNOWN: upstreams listed when accepted */
  const char *holder;   /* MOVED: its name */
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
  char *self;                           /* our member name */
  char *incarnation;                    /* "name#start", one per process */
  mm_time_ms ttl_ms;                    /* accepts older than this go */
  mm_time_ms accept_interval_ms;        /* least time between appends */
  uint64_t (*fingerprint) (void *ctx);  /* upstreams listed now */
  bool (*witnessed) (void *ctx);        /* some live instance was up before */
  void (*contact) (bool ok, void *ctx); /* a call to the log ended */
  bool (*outage) (void *ctx);           /* nobody reaches the log */
  void *ctx;
} mm_shard_env;

typedef struct mm_shard mm_shard;
mm_shard *mm_shard_create (const mm_shard_env *env, uint32_t index);
void mm_shard_destroy (mm_shard *s);
void mm_shard_accept (mm_shard *s, const char *job_id, mm_accept_cb done,
                      void *ctx); /* own the shard, record the job */
void mm_shard_superseded (mm_shard *s, int64_t epoch); /* told by others */
void mm_shard_cancel (mm_shard *s, void *ctx); /* forget a pending accept */
typedef void (*mm_shard_verify_cb) (bool ours, void *ctx);
void mm_shard_verify (mm_shard *s, mm_shard_verify_cb done,
                      void *ctx);              /* ask the log: still ours? */
void mm_shard_take (mm_shard *s, bool polite); /* own it ahead of jobs */
bool mm_shard_held (const mm_shard *s);
void mm_shard_remember (mm_shard *s, const char *job_id,
                        uint64_t fingerprint); /* accepted, let go */
bool mm_shard_knows (const mm_shard *s, const char *job_id);
bool mm_shard_owner_gap (const mm_shard *s);   /* taken without a release */
bool mm_shard_unwitnessed (const mm_shard *s); /* see there */
bool mm_shard_yielded (const mm_shard *s, mm_time_ms now); /* lost just now */
const char *mm_shard_holder (const mm_shard *s); /* last known, or NULL */
void mm_shard_insist (mm_shard *s);           /* the one who took it is gone */
void mm_shard_retry (mm_shard *s);            /* after a failed call */
void mm_shard_serve_unrecorded (mm_shard *s); /* the log is out: go on */
void mm_shard_give_up (mm_shard *s, const char *holder); /* all MOVED */
bool mm_shard_waiting (const mm_shard *s);               /* accepts pending */
void mm_shard_release (mm_shard *s); /* graceful hand-over */
uint32_t mm_shard_known_jobs (const mm_shard *s);

#endif /* MM_SHARD_H */
