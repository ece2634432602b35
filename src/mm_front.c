/* mm_front: an HTTP server for callers, and one that answers the load
   balancer's readiness checks.  */
#include "mm_front.h"

#include "config.h"
#include "mm_event.h"
#include "mm_http_limits.h"
#include "mm_metrics.h"

struct mm_front
{
  mm_node *node;
  mm_http_server *caller_server;
  mm_http_server *balancer_server;
};

static void
on_ready_request (mm_http_request *req, void *ctx)
{
  bool ready = mm_node_ready (((mm_front *)ctx)->node);
  mm_http_reply (req, ready ? 200 : 503,
                 ready ? "{\"ready\":true}" : "{\"ready\":false}", 0);
}

/* The readiness check takes no body.  */
static void
on_ready_body (mm_http_request *req, void *ctx)
{
  mm_front_error (req, 405, MM_ERROR_BAD_REQUEST, "GET without a body", 0);
}

/**
 * mm_front_create() - start the servers for callers and the load balancer.
 * @loop: event loop that runs both servers.
 * @s: settings with the addresses to listen on.
 * @node: instance that receives the jobs; must outlive the mm_front.
 * @protocol: callbacks for callers' requests; copied.
 * @error: MM_ERROR_IO when the process cannot listen on an address of @s.
 *
 * Return: the mm_front, or NULL on error; free with mm_front_destroy().
 */
mm_front *
mm_front_create (struct ev_loop *loop, const mm_node_settings *s,
                 mm_node *node, const mm_front_protocol *protocol,
                 GError **error)
{
  mm_front *f = g_new0 (mm_front, 1);
  f->node = node;
  f->caller_server = mm_http_server_listen (
      loop, s->front, (size_t)s->body_kb * 1024, protocol->request, f, error);
  if (f->caller_server)
    f->balancer_server = mm_http_server_listen (
        loop, s->ready, MM_STATE_MAX_BODY_BYTES, on_ready_request, f, error);
  if (!f->balancer_server)
    {
      mm_front_destroy (f);
      return NULL;
    }
  mm_budget *budget = mm_node_budget (node);
  mm_http_limits callers = { .connections = mm_http_limits_connections (
                                 s->descriptors, budget,
                                 MM_READY_CONNECTIONS + MM_STATE_CONNECTIONS),
                             .budget = budget,
                             .admit = protocol->admit };
  mm_http_limits balancer = { .connections = MM_READY_CONNECTIONS,
                              .close_answered = true,
                              .budget = budget,
                              .admit = on_ready_body };
  mm_http_server_set_limits (f->caller_server, &callers);
  mm_http_server_set_limits (f->balancer_server, &balancer);
  return f;
}

void
mm_front_destroy (mm_front *f)
{
  if (!f)
    return;
  mm_http_server_destroy (f->caller_server);
  mm_http_server_destroy (f->balancer_server);
  g_free (f);
}

mm_node *
mm_front_node (const mm_front *f)
{
  return f->node;
}

void
mm_front_set_leaving (mm_front *f)
{
  mm_http_server_set_leaving (f->caller_server);
}

uint32_t
mm_front_connections (const mm_front *f)
{
  return mm_http_server_connections (f->caller_server);
}

void
mm_front_error (mm_http_request *req, unsigned status, mm_error_code code,
                const char *why, uint32_t retry_after_s)
{
  char *body = mm_json_error_body (code, why, retry_after_s);
  mm_http_reply (req, status, body, retry_after_s);
  free (body);
}

bool
mm_front_refuse_left (mm_http_request *req, const char *job, const char *queue)
{
  if (!mm_http_request_caller_left (req))
    return false;
  mm_metrics_count (MM_CT_JOBS_SUBMITTED);
  mm_metrics_count (MM_CT_JOBS_LEFT);
  mm_log_event (MM_EV_JOB_CALLER_LEFT, MM_TEXT (job), MM_TEXT (queue),
                MM_INT (0));
  mm_front_error (req, 502, MM_ERROR_IO, "caller left", 0);
  return true;
}
