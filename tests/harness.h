/* Test harness: start our daemons as child processes on loopback, talk
   to them over HTTP, stop them by pid.  No cluster simulator: each test
   causes its fault through the stand-ins or a signal.  */
#ifndef MM_HARNESS_H
#define MM_HARNESS_H

#include <cJSON.h>
#include <check.h>
#include <masticmill.h>
#include <sys/types.h>

int h_port_base (void);                   /* per test process */
pid_t h_start (const char *program, ...); /* NULL-ended --set args */
void h_stop (pid_t pid, int sig);         /* signal and reap */
bool h_wait_port (int port, mm_time_ms timeout_ms);
cJSON *h_call (const char *method, int port, const char *path,
               const char *body, long *status); /* JSON answer or NULL */
char *h_job_json (const char *job_id, int n, int run_ms, int deadline_ms,
                  bool idempotent); /* a job body */
/* Hand a job in from a process of its own; h_answered() tells whether a
   whole complete answer came, h_status_class() the first digit of the
   HTTP status (0: none).  */
pid_t h_submit (int entry, const char *job);
bool h_answered (pid_t submit);
int h_status_class (pid_t submit);
int h_starts (const char *job_id, int *max_count); /* at all upstreams */
void h_platform_fault (const char *json);
int h_run_suite (Suite *s); /* exit status for main */
/* A run that an upstream stand-in saw.  */
typedef struct
{
  char task[64];
  double from_ms;
  double to_ms;
  int upstream;
  bool done;
} h_run;
/* Runs of the first upstreams; @over_capacity (or NULL) counts starts that
   brought one over its room.  */
GArray *h_runs (int n_upstreams, int *over_capacity);
int h_starts_of (int upstream_port, const char *job_id, int *max_count);
bool h_wait_json (int port, const char *path, const char *key, double want,
                  mm_time_ms timeout_ms); /* top-level number */
void h_cluster (int n_upstreams, int n_entries, int member_lag_ms);
void h_cluster_stop (void);
void h_start_entry (int i); /* one more entry instance */
/* A platform, upstreams and instances of masticmill-node; h_entries and
   h_entry_ports are the instances'.  */
void h_nodes (int n_upstreams, int slots, int n_nodes);
void h_start_node (int i);
extern const char *h_datacentres[8]; /* of instance and upstream i, or NULL */
int h_node_state_port (int i);
int h_log_lines (pid_t pid, const char *text); /* that hold it */
/* When it first logged a line with both texts, by the wall clock; -1: never.
 */
mm_time_ms h_log_time_ms (pid_t pid, const char *text, const char *also);
bool h_wait_nodes (int n_nodes, int n_upstreams, mm_time_ms timeout_ms);
/* One more --set each.  */
extern const char *h_platform_extra, *h_entry_extra, *h_upstream_extra;
int h_upstream_log_lines (int i, const char *text); /* that hold it */
extern pid_t h_platform, h_upstreams[8], h_entries[8];
extern int h_platform_port, h_upstream_ports[8], h_entry_ports[8];

#endif
