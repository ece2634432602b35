/* mm_run_server: the part of the upstream stand-in that runs tasks under
   leases, over HTTP:

     POST /v1/runs       start a run
     POST /v1/runs/stop  stop a run
     POST /v1/hold       renew the lease; lists of what runs and has ended
     POST /v1/run-faults what goes wrong from now on
     POST /v1/capacity   how much it has from now on
     GET  /v1/run-log    all runs: task, start and end in ms since boot  */
#ifndef MM_RUN_SERVER_H
#define MM_RUN_SERVER_H

#include "mm_run_table.h"

#include <cJSON.h>

typedef struct mm_run_server mm_run_server;

/* Tasks that crash their upstream.  */
typedef struct
{
  const char *jobs;    /* of jobs whose ids begin with this, "": none */
  mm_time_ms after_ms; /* from such a start */
  void (*crash) (void *ctx);
  void *ctx;
} mm_run_server_poison;

mm_run_server *mm_run_server_create (struct ev_loop *loop, const char *name,
                                     const mm_resources *capacity,
                                     const char *log_file /* or "" */);
void mm_run_server_destroy (mm_run_server *s);
void mm_run_server_set_poison (mm_run_server *s,
                               const mm_run_server_poison *p); /* copied */
/* Take a request if its path is one of the above.  */
bool mm_run_server_handle (mm_run_server *s, mm_http_request *req);
size_t mm_run_server_running (const mm_run_server *s);
const char *mm_run_server_name (const mm_run_server *s); /* incarnation */
mm_resources mm_run_server_capacity (const mm_run_server *s);
void mm_run_server_dump (const mm_run_server *s, cJSON *out);

#endif /* MM_RUN_SERVER_H */
