/* mm_front: a server for callers, and one that tells the balancer whether
   new callers are welcome.  */
#include "mm_front.h"

#include "config.h"

struct mm_front
{
  mm_node *node;
  mm_http_server *callers;
  mm_http_server *balancer;
};

static void
on_ready (mm_http_request *req, void *ctx)
{
  bool ready = mm_node_ready (((mm_front *)ctx)->node);
  mm_http_reply (req, ready ? 200 : 503,
                 ready ? "{\"ready\":true}" : "{\"ready\":false}", 0);
}

/**
 * mm_front_create() - serve callers and the balancer.
 * @loop: the loop.
 * @s: addresses to listen on.
 * @node: takes the jobs; must outlive the front.
 * @handler: called once a request of a caller, with the front.
 * @error: MM_ERROR_IO.
 *
 * Return: the front, or NULL; free with mm_front_destroy().
 */
mm_front *
mm_front_create (struct ev_loop *loop, const mm_node_settings *s,
                 mm_node *node, mm_http_handler handler, GError **error)
{
  mm_front *f = g_new0 (mm_front, 1);
  f->node = node;
  f->callers = mm_http_server_listen (
      loop, s->front, MM_DEFAULT_MAX_BODY_BYTES, handler, f, error);
  if (f->callers)
    f->balancer = mm_http_server_listen (
        loop, s->ready, MM_STATE_MAX_BODY_BYTES, on_ready, f, error);
  if (f->balancer)
    return f;
  mm_front_destroy (f);
  return NULL;
}

void
mm_front_destroy (mm_front *f)
{
  if (!f)
    return;
  mm_http_server_destroy (f->callers);
  mm_http_server_destroy (f->balancer);
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
  mm_http_server_set_leaving (f->callers);
}

uint32_t
mm_front_connections (const mm_front *f)
{
  return mm_http_server_connections (f->callers);
}

void
mm_front_error (mm_http_request *req, unsigned status, mm_error_code code,
                const char *why, uint32_t retry_after_s)
{
  char *body = mm_json_error_body (code, why, retry_after_s);
  mm_http_reply (req, status, body, retry_after_s);
  free (body);
}
