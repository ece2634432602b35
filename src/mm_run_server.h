/* mm_run_server: the component of the upstream stand-in that runs tasks under
   leases, over HTTP:

     POST /v1/runs       start a run
     POST /v1/runs/stop  stop a run
     POST /v1/hold       renew the lease; list the running and ended runs
     POST /v1/run-faults set the faults to simulate from now on
     POST /v1/capacity   set the capacity from now on
     GET  /v1/run-log    all ended runs: task, start and end in ms since boot

   The first three are refused with 421 if the caller names another incarnation
   than this one.  */
#ifndef MM_RUN_SERVER_H
#define MM_RUN_SERVER_H

#include "mm_run_table.h"

#include <cJSON.h>

typedef struct mm_run_server mm_run_server;

/* Simulated poison tasks, which crash their upstream.  */
typedef struct
{
  const char *job_prefix;    /* prefix of the ids of their jobs, "": none */
  mm_time_ms crash_delay_ms; /* from the start of such a task to the crash */
  void (*crash) (void *ctx); /* called at the crash */
  void *ctx;                 /* context pointer for crash */
} mm_run_server_poison;

/* Starts the run server of the upstream @name, whose total capacity is
   @capacity.  @log_file: takes a JSON line for each start and end, "" for
   none.  */
mm_run_server *mm_run_server_create (struct ev_loop *loop, const char *name,
                                     const mm_resources *capacity,
                                     const char *log_file);
void mm_run_server_destroy (mm_run_server *s);
/* Sets which tasks crash the upstream; @p is copied, its strings are not.  */
void mm_run_server_set_poison (mm_run_server *s,
                               const mm_run_server_poison *p);
/* Handles a request whose path is listed above; returns false for others.  */
bool mm_run_server_handle (mm_run_server *s, mm_http_request *req);
size_t mm_run_server_run_count (const mm_run_server *s); /* number of runs */
/* Returns the name of this incarnation of the upstream.  */
const char *mm_run_server_name (const mm_run_server *s);
/* Returns the capacity that the upstream reports to the upstream list.  */
mm_resources mm_run_server_capacity (const mm_run_server *s);
/* Adds the incarnation, the number of runs and the counts of starts to the
   JSON object @out.  */
void mm_run_server_dump (const mm_run_server *s, cJSON *out);

#endif /* MM_RUN_SERVER_H */
