/* The entry instance's internals, shared by its source files.  */
#ifndef MM_ENTRY_PRIV_H
#define MM_ENTRY_PRIV_H

#include "masticmill.h"
#include "mm_cfg.h"
#include "mm_pool.h"

typedef struct mm_entry_job mm_entry_job;

struct mm_entry
{
  struct ev_loop *loop;
  mm_entry_settings settings;
  mm_http_server *http;
  mm_http_client *upstreams; /* calls to upstreams */
  mm_http_client *platform;  /* calls to the platform's service */
  mm_peer *peer;             /* links to the other entry instances */
  GHashTable *peer_addrs;    /* live entry name -> "host:peer_port" */
  mm_counters *counters;
  mm_pool *pool;
  mm_cfg *cfg;
  GHashTable *jobs;    /* job id -> mm_entry_job, not finished */
  GHashTable *answers; /* job id -> finished answer (JSON) */
  GQueue answer_order; /* kept_answer *, oldest first */
  ev_timer answer_sweep;
  GHashTable *team_tasks; /* team -> tasks queued or running */
  GQueue queue;           /* task_ref *, waiting for a slot */
  uint32_t tasks_queued;  /* waiting or running */
  double run_ewma_ms;     /* observed task run time, moving mean */
  ev_timer heartbeat;
  ev_timer member_poll;
  ev_timer config_poll;
  bool config_reading;
  int64_t config_cursor;   /* next config offset to read */
  mm_time_ms head_seen_ms; /* when the head config was applied */
  int64_t peer_config_max; /* highest config offset live peers report */
  char **live_entries;     /* names of live entry instances in the DC */
  int64_t members_version; /* version of the list last read, -1 none */
  bool shutting_down;
  void (*shutdown_done) (void *);
  void *shutdown_ctx;
  ev_idle shutdown_check;
};

/* mm_entry_job.c */
void mm_entry_submit (mm_entry *e, mm_http_request *req);
void mm_entry_pump (mm_entry *e);
char *mm_entry_jobs_dump (const mm_entry *e);
void mm_entry_jobs_free (mm_entry *e);
void mm_entry_answers_start (mm_entry *e);
void mm_entry_take_forwarded (mm_entry *e, uint64_t conn_id, uint64_t req_id,
                              const uint8_t *data, size_t len);
const char *mm_entry_owner_addr (mm_entry *e,
                                 const char *job_id); /* NULL: us */

/* mm_entry_platform.c */
void mm_entry_platform_start (mm_entry *e);
void mm_entry_platform_stop (mm_entry *e);
void mm_entry_heartbeat_now (mm_entry *e);

#endif /* MM_ENTRY_PRIV_H */
