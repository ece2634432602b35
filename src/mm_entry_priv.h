/* Internals of the entry instance, shared by its source files.  */
#ifndef MM_ENTRY_PRIV_H
#define MM_ENTRY_PRIV_H

#include "masticmill.h"
#include "mm_http_limits.h"
#include "mm_cfg.h"
#include "mm_contact.h"
#include "mm_pool.h"
#include "mm_quota.h"
#include "mm_shard.h"

#include <cJSON.h>

/* A request that waits for a job's answer: from a caller on HTTP, or from a
   peer instance that forwarded the job.  */
typedef struct
{
  mm_http_request *http; /* the caller's request, NULL for a peer */
  uint64_t link_id;      /* id of the link to the peer */
  uint64_t req_id;       /* id of the peer's request on that link */
  uint32_t hops;         /* how often the job was forwarded */
} mm_waiter;

typedef struct mm_entry mm_entry;
typedef struct mm_recovery mm_recovery;

/* Progress of a job on this instance, in this order.  */
typedef enum
{
  MM_JOB_ACCEPTING,  /* its record is being appended to the log */
  MM_JOB_RECOVERING, /* the upstreams report what already ran */
  MM_JOB_RUNNING,    /* its tasks are queued or sent */
  MM_JOB_FAILING, /* no task is sent; waits for the log to confirm the owner */
  MM_JOB_FINISHED /* has left the table; answers of its tasks are dropped */
} mm_entry_job_phase;

/* Whether an earlier owner may have run a job that this instance does not
   have.  */
typedef enum
{
  MM_EARLIER_ACCEPT_NONE,     /* no: the records are complete, without it */
  MM_EARLIER_ACCEPT_POSSIBLE, /* some records may be missing or unread */
  MM_EARLIER_ACCEPT_KNOWN     /* an earlier owner accepted it */
} mm_earlier_accept;

/* A job on this instance.  */
typedef struct
{
  mm_entry *entry;
  mm_job *job;
  mm_shard *shard;
  GPtrArray *waiters; /* mm_waiter *: requests that wait for its answer */
  mm_entry_job_phase phase;
  mm_earlier_accept earlier_accept;
  int fail_code;         /* mm_error_code of the failure, while FAILING */
  const char *fail_why;  /* message of the failure; a constant string */
  int64_t epoch;         /* sent with its tasks; upstreams refuse lower ones */
  uint64_t fingerprint;  /* of the upstreams listed when it was accepted */
  uint32_t remaining;    /* tasks without a final state */
  uint32_t refs;         /* references: table, queue entries, open calls */
  mm_recovery *recovery; /* set by mm_entry_recover(), else NULL */
  ev_timer deadline;     /* runs until the first deadline of its tasks */
} mm_entry_job;

struct mm_entry
{
  struct ev_loop *loop;
  mm_entry_settings settings;
  mm_http_server *http_server;
  mm_budget *budget;               /* of memory, for callers */
  mm_http_client *upstream_client; /* calls to upstreams */
  mm_http_client *platform_client; /* calls to the platform's service */
  mm_peer *peer_links;             /* links to the other entry instances */
  GHashTable *peer_addrs;          /* live entry name -> "host:peer_port" */
  GHashTable *suspect_peers; /* entry name -> mm_time_ms of its failure */
  mm_counters *counters;
  mm_pool *pool;                 /* the upstreams */
  mm_cfg *cfg;                   /* the published configuration */
  mm_contact *contact;           /* which instances reach the platform */
  mm_shard_env shard_env;        /* shared by all shards */
  mm_shard **shards;             /* array of settings.shards */
  ev_timer shard_tick;           /* retries, takes shards and pings peers */
  mm_time_ms last_ping_ms;       /* when the peers were last pinged */
  mm_time_ms peers_changed_ms;   /* when the set of peers last changed */
  bool shards_verified;          /* verified after peers_changed_ms */
  int64_t peer_outage_wall_ms;   /* latest outage that a peer saw, 0 none */
  int64_t started_wall_ms;       /* start of this process */
  int64_t peers_started_wall_ms; /* earliest start of a live peer, 0 none */
  GHashTable *jobs;              /* job id -> mm_entry_job, not finished */
  GHashTable *answers;   /* job id -> answer of a finished job (JSON) */
  GQueue answer_order;   /* stored_answer *, oldest first */
  ev_timer answer_sweep; /* drops answers that are too old */
  mm_quota *quota;       /* tasks of each team in the data centre */
  ev_timer quota_report; /* reports the teams' tasks to the peers */
  GQueue queue;          /* queued_task *, waiting for a slot */
  uint32_t tasks_queued; /* tasks that wait or run */
  double run_ewma_ms;    /* moving average from sending a task to its result */
  ev_timer heartbeat;
  ev_timer member_poll;
  ev_timer config_poll;
  bool config_poll_pending;     /* a read of the config stream is open */
  int64_t config_cursor;        /* next config offset to read */
  mm_time_ms head_refreshed_ms; /* last apply or append of the config head */
  int64_t peers_max_config_offset; /* highest that a live peer has, or -1 */
  char **live_entries;     /* names of live instances, this one included */
  int64_t members_version; /* version of the last member list, -1: read all */
  bool shutting_down;
  void (*shutdown_done) (void *);
  void *shutdown_ctx;
  ev_idle shutdown_check;        /* checks whether the shutdown is complete */
  ev_timer shutdown_limit_timer; /* limits the release of shards */
  bool shutdown_limit_passed;
};

/* mm_entry_route.c: routes each request to the owner of its job */
void mm_entry_submit (mm_entry *e, mm_http_request *req);
void mm_entry_submit_forwarded (mm_entry *e, uint64_t link_id, uint64_t req_id,
                                uint32_t hops, const uint8_t *data,
                                size_t len);
void mm_entry_waiter_reply (mm_entry *e, const mm_waiter *w, unsigned status,
                            const char *body, uint32_t retry_after_s);
void mm_entry_refuse (mm_entry *e, const mm_waiter *w, unsigned status,
                      int code, const char *why, uint32_t retry_after_s);
void mm_entry_reroute (mm_entry *e, mm_waiter *w, const mm_job *job,
                       const char *owner); /* takes ownership of w */

/* mm_entry_admit.c: decides whether a job is admitted */
/* Why a job is refused.  */
typedef struct
{
  unsigned status;        /* HTTP status */
  int code;               /* mm_error_code */
  const char *why;        /* message for the caller; a constant string */
  uint32_t retry_after_s; /* when to submit again */
} mm_refusal;
/* Returns whether the job is admitted; if not, sets @r.  */
bool mm_entry_admit (mm_entry *e, const mm_job *job, mm_refusal *r);
/* Returns the shortest deadline of a job's tasks, from its submission.  */
mm_time_ms mm_entry_first_deadline_ms (const mm_job *job);

/* mm_entry_notify.c: notifications between the instances of a data centre */
void mm_entry_notify_start (mm_entry *e);
void mm_entry_notify_stop (mm_entry *e);
void mm_entry_notify_ejected (mm_entry *e, const char *upstream);

/* mm_entry_answer.c: builds answers and stores them for resubmits */
/* Returns the answer as JSON text, free with free().  */
char *mm_entry_answer_json (const mm_entry_job *ej, const char *status,
                            int code, const char *why, uint32_t retry_after_s);
/* Stores an answer for resubmits; takes ownership of @answer.  */
void mm_entry_answer_store (mm_entry *e, const char *job_id, char *answer);
void mm_entry_answers_start (mm_entry *e);
void mm_entry_answers_free (mm_entry *e);

/* mm_entry_job.c: runs a job from its acceptance to its answer */
/* Accepts a job; takes ownership of @w and @job.  */
void mm_entry_job_start (mm_entry *e, mm_waiter *w, mm_job *job);
void mm_entry_job_run (mm_entry_job *ej); /* queue its pending tasks */
/* Ends a job that can no longer complete.  @why: a constant string.  */
void mm_entry_job_fail (mm_entry_job *ej, int code, const char *why);
/* Routes the requests for a job to its new owner, NULL when not known.  */
void mm_entry_job_moved (mm_entry_job *ej, const char *owner);
void mm_entry_job_ref (mm_entry_job *ej);
void mm_entry_job_unref (mm_entry_job *ej);
void mm_entry_handle_task_outcome (mm_entry_job *ej, mm_task *t, mm_outcome o,
                                   const char *result);
void mm_entry_handle_upstream_outcome (mm_entry *e, int upstream, mm_outcome o,
                                       int64_t mode_seq);
void mm_entry_send_waiting (mm_entry *e); /* into free upstream slots */
char *mm_entry_jobs_dump (const mm_entry *e);
void mm_entry_jobs_free (mm_entry *e);

/* mm_entry_recover.c: finds out what an earlier owner already ran */
/* Finds out which tasks ran, then runs the rest.  @fingerprint: of the
   upstreams listed at the earlier accept, if @check_fingerprint.  */
void mm_entry_recover (mm_entry_job *ej, bool check_fingerprint,
                       uint64_t fingerprint);
void mm_entry_recovery_free (mm_entry_job *ej);

/* mm_entry_shards.c: which jobs this instance owns */
void mm_entry_shards_start (mm_entry *e);
void mm_entry_shards_stop (mm_entry *e);
/* Releases the shards; call it again until it returns true.  */
bool mm_entry_shards_release (mm_entry *e);
void mm_entry_shards_dump (const mm_entry *e, cJSON *out);
mm_shard *mm_entry_shard_of (mm_entry *e, const char *job_id);
/* Returns the name of the peer that gets the job, or NULL: this instance.  */
const char *mm_entry_route (mm_entry *e, const char *job_id, uint32_t hops);
/* Allows this instance to take the job's shard if the owner is gone.  */
void mm_entry_check_shard_owner (mm_entry *e, const char *job_id);
/* Leaves a peer that did not answer out of routing for a while.  */
void mm_entry_suspect_peer (mm_entry *e, const char *peer);
/* Records whether the platform answered a call.  */
void mm_entry_record_contact (mm_entry *e, bool ok);
void mm_entry_peers_changed (mm_entry *e, GHashTable *old_addrs);
mm_earlier_accept mm_entry_earlier_accept (mm_entry *e, const char *job_id);

/* mm_entry_platform.c: heartbeats, member list and config stream */
void mm_entry_platform_start (mm_entry *e);
void mm_entry_platform_stop (mm_entry *e);
void mm_entry_heartbeat_now (mm_entry *e);

#endif /* MM_ENTRY_PRIV_H */
