/* masticmill: a dispatcher for sub-second tasks.

   This header declares the public API, grouped by module.  Each module
   has a short prefix.  Opaque types are allocated with _create and freed
   with _destroy.  Every failure is reported through a GError in the
   MM_ERROR domain.  Names of times end in _ms, names of sizes in _bytes.
   A char * that a function returns belongs to the caller, who frees it
   with free(), or with g_free() where the comment says so.  A const pointer
   that a function returns is constant or belongs to the object it comes
   from.  */
#ifndef MASTICMILL_H
#define MASTICMILL_H

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C"
{
#endif

  /* ---- mm_clock: clocks, all in milliseconds ---------------------------- */
  typedef int64_t mm_time_ms;        /* a point in time or a duration, in ms */
  mm_time_ms mm_clock_now_ms (void); /* monotonic clock */
  mm_time_ms mm_clock_wall_ms (void); /* wall clock, ms since 1970 */
  /* Returns the monotonic time in place of the clock of the machine.  */
  typedef mm_time_ms (*mm_clock_source) (void *ctx);
  /* Lets a test set the time; NULL restores the clock of the machine.  */
  void mm_clock_set_source (mm_clock_source now, void *ctx);

/* ---- mm_error: error codes --------------------------------------------- */
#define MM_ERROR (mm_error_quark ())
  typedef enum
  {
    MM_ERROR_CONFIG_SYNTAX,      /* TOML could not be parsed */
    MM_ERROR_CONFIG_UNKNOWN_KEY, /* a key the program does not know */
    MM_ERROR_CONFIG_TYPE,        /* a value of the wrong type */
    MM_ERROR_CONFIG_RANGE,       /* a value out of its range */
    MM_ERROR_IO,                 /* a file or socket failed */
    MM_ERROR_BAD_REQUEST,        /* a request could not be decoded */
    MM_ERROR_JOB_SIZE,           /* a job of zero or too many tasks */
    MM_ERROR_OVERLOADED,         /* admission refused: retry later */
    MM_ERROR_PLATFORM,           /* the platform's service failed */
    MM_ERROR_UPSTREAM,           /* an upstream failed */
    /* A published config is an edit of another one than that in force.  */
    MM_ERROR_CONFIG_REJECTED,
    MM_ERROR_TIMEOUT, /* no answer in time */
    MM_ERROR_DECODE   /* a frame of a peer could not be decoded */
  } mm_error_code;
  GQuark mm_error_quark (void);              /* the MM_ERROR domain */
  const char *mm_error_code_name (int code); /* stable name of a code */

  /* ---- mm_log: GLib structured logging as JSON lines ---------------------
   */
  void mm_log_init (const char *program);        /* JSON lines to stdout */
  void mm_log_init_stderr (const char *program); /* to stderr */
  void mm_log_close (void);                      /* flush and stop logging */
  /* Writes the buffered lines that the output accepts without blocking.  */
  void mm_log_flush (void);
  char *mm_log_format_json (const GLogField *fields,
                            size_t n_fields); /* one log line */

  /* ---- mm_counters: a set of named counters ------------------------------
   */
  typedef struct mm_counters mm_counters;
  mm_counters *mm_counters_create (void);    /* an empty set */
  void mm_counters_destroy (mm_counters *c); /* free the set */
  void mm_counters_add (mm_counters *c, const char *name,
                        int64_t n); /* add n, which may be negative */
  int64_t mm_counters_get (const mm_counters *c,
                           const char *name);       /* 0 if never added to */
  char *mm_counters_to_json (const mm_counters *c); /* {"name":n,...} */

  /* ---- mm_toml: TOML documents (toml++ behind a C API) -------------------
   */
  typedef enum
  {
    MM_TOML_INT,
    MM_TOML_FLOAT,
    MM_TOML_BOOL,
    MM_TOML_STRING,
    MM_TOML_STRING_ARRAY
  } mm_toml_type;
  typedef struct
  {
    char *key;          /* dotted key, "section.name" */
    mm_toml_type type;  /* what the value is */
    int64_t int_value;  /* value of type MM_TOML_INT */
    double float_value; /* value of type MM_TOML_FLOAT */
    bool bool_value;    /* value of type MM_TOML_BOOL */
    char *string_value; /* value of type MM_TOML_STRING */
    char **strings;     /* MM_TOML_STRING_ARRAY, ended by NULL */
    uint32_t line;      /* source line of the value */
  } mm_toml_entry;
  typedef struct mm_toml mm_toml;
  mm_toml *mm_toml_parse_file (const char *path,
                               GError **error); /* read a file */
  mm_toml *mm_toml_parse_string (const char *text, const char *source,
                                 GError **error); /* parse text */
  void mm_toml_destroy (mm_toml *t);              /* free a document */
  size_t mm_toml_count (const mm_toml *t);        /* number of leaf entries */
  const mm_toml_entry *mm_toml_at (const mm_toml *t,
                                   size_t i);    /* i-th entry */
  const char *mm_toml_source (const mm_toml *t); /* file name or label */
  /* Replaces the values of @base by those of @overlay with the same key.  */
  void mm_toml_overlay (mm_toml *base, const mm_toml *overlay);

  /* ---- mm_settings: checked settings from TOML ---------------------------
   */
  typedef enum
  {
    MM_SETTING_INT,
    MM_SETTING_BOOL,
    MM_SETTING_STRING,
    MM_SETTING_STRINGS,
    MM_SETTING_FLOAT,
    MM_SETTING_INT_TABLE /* key "section.*": GHashTable of name -> int */
  } mm_setting_type;
  /* One setting that a program accepts; a NULL key ends a table of them.  */
  typedef struct
  {
    const char *key;      /* dotted key */
    mm_setting_type type; /* expected type */
    size_t offset;        /* offsetof the field in the target struct */
    int64_t min;          /* lowest value of an int */
    int64_t max;          /* highest value of an int */
    const char *help;     /* one line for --help and errors */
  } mm_setting_spec;
  /* Checks all values of a document, then copies them into @target, a struct
     that the offsets of @specs refer to.  */
  bool mm_settings_apply (const mm_setting_spec *specs, void *target,
                          const mm_toml *t, GError **error);
  bool mm_settings_load_file (const mm_setting_spec *specs, void *target,
                              const char *path,
                              GError **error); /* the same for a file */

  /* ---- mm_json: helpers for cJSON ----------------------------------------
   */
  char *mm_json_error_body (int code, const char *message,
                            uint32_t retry_after_s); /* {"error":...} */

  /* ---- mm_http_server: HTTP server (libmicrohttpd) on libev --------------
   */
  typedef struct mm_http_server mm_http_server;
  typedef struct mm_http_request mm_http_request;
  /* Called for each request.  It must answer the request with mm_http_reply(),
     at once or later.  */
  typedef void (*mm_http_handler) (mm_http_request *req, void *ctx);
  mm_http_server *mm_http_server_create (struct ev_loop *loop,
                                         const char *host, uint16_t port,
                                         size_t max_body_bytes,
                                         mm_http_handler handler, void *ctx,
                                         GError **error); /* listen */
  mm_http_server *mm_http_server_listen (struct ev_loop *loop,
                                         const char *addr,
                                         size_t max_body_bytes,
                                         mm_http_handler handler, void *ctx,
                                         GError **error); /* at "ip:port" */
  /* Answers the requests that still wait with status 500, closes all
     connections and frees the server.  */
  void mm_http_server_destroy (mm_http_server *s);
  void mm_http_server_quiesce (mm_http_server *s); /* stop accepting */
  uint32_t
  mm_http_server_in_flight (const mm_http_server *s);     /* open requests */
  uint16_t mm_http_server_port (const mm_http_server *s); /* listening port */
  const char *mm_http_request_method (const mm_http_request *r); /* "GET" */
  const char *mm_http_request_path (const mm_http_request *r); /* "/v1/jobs" */
  const char *mm_http_request_body (const mm_http_request *r,
                                    size_t *len); /* body */
  const char *
  mm_http_request_query (const mm_http_request *r,
                         const char *key); /* value of ?key=, or NULL */
  const char *mm_http_request_header (const mm_http_request *r,
                                      const char *name); /* value, or NULL */
  /* Answers a request with a JSON body, which is copied.  The request is freed
     when the answer has been sent; a second reply before then is ignored.
     @retry_after_s: Retry-After in seconds, 0 for none.  */
  void mm_http_reply (mm_http_request *r, unsigned status, const char *body,
                      uint32_t retry_after_s);
  /* Called when the caller closes the connection before the answer.  */
  typedef void (*mm_http_closed_cb) (void *ctx);
  void mm_http_request_on_close (mm_http_request *r, mm_http_closed_cb left,
                                 void *ctx);
  /* Whether the caller has closed the connection by now.  */
  bool mm_http_request_caller_left (const mm_http_request *r);
  /* Closes each connection with its next answer, or when it is idle, so that
     callers connect to another instance.  */
  void mm_http_server_set_leaving (mm_http_server *s);
  uint32_t
  mm_http_server_connections (const mm_http_server *s); /* open connections */

  /* ---- mm_http_client: HTTP client (libcurl multi) on libev --------------
   */
  typedef struct mm_http_client mm_http_client;
  typedef struct
  {
    long status;       /* HTTP status, 0 when no answer */
    const char *body;  /* answer body, NUL-terminated */
    size_t body_bytes; /* length of body */
    bool sent;         /* at least a part of the request was written */
    GError *error;     /* transport failure, or NULL */
    bool overdue;      /* still open after timeout_ms: done is called again */
    bool was_overdue;  /* ended after it was reported as overdue */
    /* From the call until its body was passed to the connection, -1: it was
       not, or there is none.  */
    mm_time_ms unsent_ms;
    /* Overdue calls: how long after their timeout that was noticed.  The
       process handled no events for about this long.  */
    mm_time_ms overrun_ms;
  } mm_http_result;
  /* Called with the result of a call, which is valid during the callback.  */
  typedef void (*mm_http_done) (const mm_http_result *res, void *ctx);
  typedef struct
  {
    const char *method;    /* "GET", "POST", ... */
    const char *url;       /* full URL */
    const char *body;      /* text or bytes, or NULL; copied */
    size_t body_bytes;     /* length of body, 0: body ends with NUL */
    const char *header;    /* additional header line, or NULL */
    bool new_connection;   /* use a new connection */
    mm_time_ms timeout_ms; /* a call without an answer is then overdue */
    /* How long an overdue call stays open for a late answer; 0: it is closed
       at once.  */
    mm_time_ms keep_overdue_ms;
    /* Only a connection opened since this time is used, 0: any.  */
    mm_time_ms opened_since_ms;
  } mm_http_call;
  /* @max_host_connections: most connections to one host at a time.  */
  mm_http_client *mm_http_client_create (struct ev_loop *loop,
                                         uint32_t max_host_connections);
  /* Closes the connections and frees the client.  Calls that are still open
     end without a result: their @done is not called.  Unless all calls with
     keep_overdue_ms have ended, the loop must not run any more.  */
  void mm_http_client_destroy (mm_http_client *c);
  void mm_http_client_set_member (
      mm_http_client *c, const char *name); /* sent as X-Masticmill-Member */
  /* Starts a call.  @body: JSON text, copied, or NULL.  @done is called once,
     from the loop.  */
  void mm_http_client_call (mm_http_client *c, const char *method,
                            const char *url, const char *body,
                            mm_time_ms timeout_ms, mm_http_done done,
                            void *ctx);
  /* Starts a call.  @done is called once, or twice if the answer is overdue
     and the call stays open (keep_overdue_ms).  */
  void mm_http_client_send (mm_http_client *c, const mm_http_call *call,
                            mm_http_done done, void *ctx);
  char *
  mm_http_failure_text (const mm_http_result *res); /* for logs, g_free() */
  uint32_t mm_http_client_in_flight (const mm_http_client *c); /* open calls */
  char *mm_http_call_sync (const char *method, const char *url,
                           const char *body, mm_time_ms timeout_ms,
                           long *status,
                           GError **error); /* blocks; body, g_free() */

  /* ---- mm_job: jobs and tasks --------------------------------------------
   */
  typedef enum
  {
    MM_TASK_PENDING, /* waits to be sent, or to be sent again */
    MM_TASK_RUNNING, /* sent to an upstream */
    MM_TASK_DONE,    /* its result has arrived */
    MM_TASK_FAILED,  /* ran and failed */
    MM_TASK_UNKNOWN, /* may have run; never retried unless idempotent */
    MM_TASK_NOT_RUN  /* never started anywhere */
  } mm_task_state;
  /* A task of a job: what the caller submitted and its progress.  */
  typedef struct
  {
    char *id;               /* task id, unique in its job */
    char *payload;          /* passed to the upstream unchanged */
    mm_time_ms run_ms;      /* declared run time (a hint) */
    mm_time_ms deadline_ms; /* time from the submission to its deadline */
    bool idempotent;        /* may be run again */
    mm_task_state state;    /* progress of the task */
    char *result;           /* result from the upstream, when DONE */
    uint32_t attempts;      /* how often it was sent and may have run */
    int32_t upstream;       /* index of the upstream it was sent to, or -1 */
    mm_time_ms started_ms;  /* when last sent, by mm_clock_now_ms() */
    mm_time_ms finished_ms; /* when its result arrived */
  } mm_task;
  /* A job: tasks that a caller submits together and gets one answer for.  */
  typedef struct
  {
    char *id;                /* job id, chosen by the caller */
    char *team;              /* team (customer) the job belongs to */
    uint32_t n_tasks;        /* number of tasks */
    mm_task *tasks;          /* the tasks */
    mm_time_ms submitted_ms; /* when accepted, by mm_clock_now_ms() */
  } mm_job;
  mm_job *mm_job_parse_json (const char *body, size_t len, uint32_t max_tasks,
                             GError **error); /* decode from JSON */
  bool mm_job_check_ids (const mm_job *job,
                         GError **error); /* task ids must be unique */
  void mm_job_destroy (mm_job *job);      /* free a job */
  const char *mm_task_state_name (mm_task_state s); /* "done", ... */
  /* Appends the job as submitted to @out, as msgpack without progress.  */
  bool mm_job_pack (const mm_job *job, GByteArray *out);
  mm_job *mm_job_unpack (const uint8_t *data, size_t len, uint32_t max_tasks,
                         GError **error); /* msgpack decode */

  /* ---- mm_cfg: published configuration records ---------------------------
   */
  /* Builds the JSON text of a record and checks it.  @kind: "config" or
     "snapshot".  @parent: log offset of the record that was edited, -1 for the
     first one.  @base: TOML text for all sites.  @overlays: TOML text for each
     of @sites.  Returns NULL when a setting is not valid.  */
  char *mm_cfg_record_text (const char *kind, int64_t parent, const char *base,
                            const char *const *sites,
                            const char *const *overlays, GError **error);

  /* ---- mm_peer: TCP links between entry instances, msgpack frames --------
   */
  typedef struct mm_peer mm_peer;
  typedef struct
  {
    unsigned status;        /* HTTP status for the caller, set by the owner */
    uint32_t retry_after_s; /* Retry-After of the answer, 0 for none */
    const char *body;       /* JSON answer of the owner */
    GError *error;          /* the link failed or timed out: no answer */
  } mm_peer_answer;
  /* Called for each job that a peer forwards.  @job: @len bytes from
     mm_job_pack().  @hops: how often the job was forwarded, this time
     included.  @link_id and @req_id identify the request to
     mm_peer_reply().  */
  typedef void (*mm_peer_request_cb) (mm_peer *p, uint64_t link_id,
                                      uint64_t req_id, uint32_t hops,
                                      const uint8_t *job, size_t len,
                                      void *ctx);
  /* Called once with the answer to a forwarded job or to a ping.  */
  typedef void (*mm_peer_answer_cb) (const mm_peer_answer *a, void *ctx);
  mm_peer *mm_peer_create (struct ev_loop *loop, const char *host,
                           uint16_t port, mm_peer_request_cb on_request,
                           void *ctx, GError **error); /* listen */
  void mm_peer_destroy (mm_peer *p);                   /* close all links */
  void mm_peer_forward (mm_peer *p, const char *addr, uint32_t hops,
                        const uint8_t *job, size_t len, mm_time_ms timeout_ms,
                        mm_peer_answer_cb done,
                        void *ctx); /* send a job to its owner */
  void mm_peer_reply (mm_peer *p, uint64_t link_id, uint64_t req_id,
                      unsigned status, uint32_t retry_after_s,
                      const char *body); /* answer a forwarded job */
  /* Returns the HTTP status that answers a ping: 200 when this instance
     reaches the platform, 503 when it does not, 204 when it cannot tell.  */
  typedef unsigned (*mm_peer_ping_status_cb) (void *ctx);
  /* Sets the callback for pings from peers; without one, they get 204.  */
  void mm_peer_set_ping_status_cb (mm_peer *p,
                                   mm_peer_ping_status_cb ping_status,
                                   void *ctx);
  /* Asks a peer whether it reaches the platform; @done gets the status that
     mm_peer_ping_status_cb returns at the peer.  */
  void mm_peer_ping (mm_peer *p, const char *addr, mm_time_ms timeout_ms,
                     mm_peer_answer_cb done, void *ctx);
  typedef enum
  {
    MM_NOTIFICATION_USAGE = 1, /* number of tasks of each team, see mm_quota */
    MM_NOTIFICATION_EJECTED = 2 /* name of an upstream that the peer ejected */
  } mm_notification_kind;
  /* Called for each notification from a peer.  @peer: name of the peer.  */
  typedef void (*mm_peer_notification_cb) (mm_notification_kind kind,
                                           const char *peer,
                                           const uint8_t *payload, size_t len,
                                           void *ctx);
  void mm_peer_set_notification_cb (mm_peer *p,
                                    mm_peer_notification_cb notification_cb,
                                    void *ctx);
  /* Sends a notification to a peer, which does not answer it.  @self: name of
     this instance.  */
  void mm_peer_notify (mm_peer *p, const char *addr, mm_notification_kind kind,
                       const char *self, const uint8_t *payload, size_t len);
  /* Closes the link to a peer; its pending requests fail at once.  */
  void mm_peer_drop (mm_peer *p, const char *addr);
  uint16_t mm_peer_port (const mm_peer *p); /* listening port */

  /* ---- mm_hash: rendezvous hashing (xxhash) ------------------------------
   */
  int mm_hash_owner (const char *key, char *const *members,
                     size_t n); /* index of the owner, -1 when n is 0 */

  /* ---- mm_daemon: command line shared by the daemons ---------------------
   */
  typedef enum
  {
    MM_DAEMON_RUN,  /* settings are loaded: run the daemon */
    MM_DAEMON_EXIT, /* --help, --version or --check is done: exit 0 */
    MM_DAEMON_ERROR /* bad arguments or settings: exit 2 */
  } mm_daemon_verdict;
  mm_daemon_verdict mm_daemon_args (int argc, char **argv, const char *summary,
                                    const mm_setting_spec *specs,
                                    void *settings,
                                    GError **error); /* fill in settings */
  /* Returns the bytes of memory and the descriptors that the process has: what
     the settings say, or less if the machine or the process has less.  */
  uint64_t mm_daemon_memory_bytes (int64_t setting_mb);
  int64_t mm_daemon_descriptors (int64_t setting);
  void mm_daemon_catch_crashes (void); /* print the stack to stderr */
  void mm_daemon_print_settings_help (
      const mm_setting_spec *specs); /* list all keys */

  /* ---- mm_bench: load and experiment runs against entry instances ------- */
  /* A kind of job that the callers of a site submit.  */
  typedef struct
  {
    const char *name;  /* name of the kind of job, NULL ends a list */
    uint32_t tasks;    /* tasks per job, all in parallel */
    mm_time_ms run_ms; /* run time of each task */
    double jobs_per_s; /* mean arrival rate */
  } mm_bench_kind;
  /* Returns the kinds of job of a site, NULL for an unknown site.  */
  const mm_bench_kind *mm_bench_site (const char *site);
  typedef struct
  {
    char **entries;             /* entry base URLs; jobs go round-robin */
    uint32_t jobs;              /* jobs to submit */
    uint32_t tasks;             /* tasks per job */
    uint32_t concurrency;       /* jobs in flight at once */
    mm_time_ms run_ms;          /* mean task run time */
    mm_time_ms deadline_ms;     /* per task */
    double non_idempotent;      /* share of tasks marked non-idempotent */
    uint32_t seed;              /* seed of the random run times */
    mm_time_ms max_ms;          /* stop submitting after this */
    const mm_bench_kind *kinds; /* arrivals (open loop), NULL: closed loop */
    double scale;               /* factor for the arrival rates of kinds */
  } mm_bench_plan;
  /* A ratio is the response time of a job divided by its ideal response time:
     its longest task plus a round trip of 1 ms.  ratio_p50 is the median,
     ratio_p99 and ratio_p999 are the 99 and 99.9 percentiles.  */
  typedef struct
  {
    uint32_t complete;   /* jobs with a complete answer */
    uint32_t not_served; /* jobs that failed or were refused */
    double ratio_p50;
    double ratio_p99;
  } mm_bench_kind_report;
#define MM_BENCH_MAX_KINDS 8
  typedef struct
  {
    uint32_t jobs_complete; /* jobs with a complete answer */
    uint32_t jobs_failed;   /* jobs that failed after they were accepted */
    uint32_t jobs_refused;  /* jobs that were refused before they started */
    uint32_t tasks;         /* tasks of the complete jobs */
    double ratio_p50;       /* as in mm_bench_kind_report */
    double ratio_p99;
    double ratio_p999;
    mm_time_ms wall_ms;                             /* duration of the run */
    mm_bench_kind_report kinds[MM_BENCH_MAX_KINDS]; /* order of the plan */
  } mm_bench_report;
  bool mm_bench_run (const mm_bench_plan *plan, mm_bench_report *out,
                     GError **error); /* blocks until the run has ended */

  /* ---- daemons: each runs on an event loop -------------------------------
   */
  typedef struct mm_platform mm_platform; /* platform stand-in */
  typedef struct mm_upstream mm_upstream; /* upstream stand-in */
  typedef struct mm_entry mm_entry;       /* an entry instance */

  typedef struct
  {
    char *listen_host;     /* "127.0.0.1" */
    int64_t port;          /* HTTP port */
    int64_t retention_ms;  /* how long log records are kept */
    int64_t member_ttl_ms; /* from a member's last heartbeat to its expiry */
    int64_t member_lag_ms; /* age of the member list that is served */
  } mm_platform_settings;
  extern const mm_setting_spec mm_platform_setting_specs[];
  void mm_platform_settings_defaults (mm_platform_settings *s);
  mm_platform *mm_platform_create (struct ev_loop *loop,
                                   const mm_platform_settings *s,
                                   GError **error); /* listen */
  void mm_platform_destroy (mm_platform *p);        /* stop listening */
  char *mm_platform_dump (const mm_platform *p);    /* state as JSON */

  typedef struct
  {
    char *listen_host;    /* "127.0.0.1" */
    int64_t port;         /* HTTP port */
    int64_t slots;        /* tasks that it runs at full speed */
    int64_t connections;  /* HTTP connections that it accepts */
    char *name;           /* member name on the platform */
    char *datacentre;     /* data centre it belongs to */
    char **labels;        /* labels that tasks may require */
    char *platform_url;   /* receives the heartbeats, "" for none */
    int64_t heartbeat_ms; /* heartbeat period */
    char *advertise;      /* "host:port" for others, "": where it listens */
    char *run_log;        /* file, a line per task start and end; "" none */
    char *poison_jobs;    /* prefix of job ids whose tasks crash it, or "" */
    int64_t poison_ms;    /* from the start of a poison task to the crash */
    int64_t back_ms;      /* from a crash to the next incarnation */
  } mm_upstream_settings;
  extern const mm_setting_spec mm_upstream_setting_specs[];
  void mm_upstream_settings_defaults (mm_upstream_settings *s);
  mm_upstream *mm_upstream_create (struct ev_loop *loop,
                                   const mm_upstream_settings *s,
                                   GError **error);
  void mm_upstream_destroy (mm_upstream *u);
  /* Refuses new tasks and calls @drained when all others have ended.  */
  void mm_upstream_drain (mm_upstream *u, void (*drained) (void *), void *ctx);
  /* Sets the function that simulates the crash by a poison task.  */
  void mm_upstream_set_crash_handler (mm_upstream *u, void (*crash) (void *),
                                      void *ctx);
  char *mm_upstream_dump (const mm_upstream *u); /* state as JSON */

  typedef struct
  {
    char *listen_host;  /* "127.0.0.1" */
    int64_t port;       /* caller HTTP port */
    int64_t peer_port;  /* peer TCP port (msgpack frames) */
    char *name;         /* member name, unique */
    char *site;         /* site (deployment) whose overlay applies */
    char *datacentre;   /* data centre it belongs to */
    char *platform_url; /* the platform's service */
    char **upstreams;   /* "host:port", known before the member list */
    char **peers;       /* "name=host:peer_port" of peers in the data centre */
    int64_t upstream_slots;     /* slots of an upstream that reports none */
    int64_t heartbeat_ms;       /* heartbeat period */
    int64_t member_poll_ms;     /* member list poll period */
    int64_t config_poll_ms;     /* config stream poll period */
    int64_t config_snapshot_ms; /* between appends of the same config head */
    int64_t done_ttl_ms;        /* how long answers are kept for resubmits */
    int64_t shards;             /* number of shards of a data centre's jobs */
    int64_t accept_interval_ms; /* least time between a shard's appends */
  } mm_entry_settings;
  extern const mm_setting_spec mm_entry_setting_specs[];
  void mm_entry_settings_defaults (mm_entry_settings *s);
  mm_entry *mm_entry_create (struct ev_loop *loop, const mm_entry_settings *s,
                             GError **error);
  void mm_entry_destroy (mm_entry *e);
  /* Refuses new jobs and calls @done when all others are answered.  */
  void mm_entry_shutdown (mm_entry *e, void (*done) (void *), void *ctx);
  char *mm_entry_dump (const mm_entry *e); /* state as JSON */

#ifdef __cplusplus
}
#endif
#endif /* MASTICMILL_H */
