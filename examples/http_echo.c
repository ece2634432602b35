/* Runs an HTTP server and an HTTP client on one event loop.  */
#include <masticmill.h>

#include <stdio.h>

/* Answers each request with its own body.  */
static void
echo (mm_http_request *req, void *ctx)
{
  size_t len;
  mm_http_reply (req, 200, mm_http_request_body (req, &len), 0);
}

/* Prints the answer and stops the event loop.  */
static void
answered (const mm_http_result *result, void *ctx)
{
  printf ("HTTP %ld: %.*s\n", result->status, (int)result->body_bytes,
          result->body);
  ev_break (ctx, EVBREAK_ALL);
}

int
main (void)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  GError *error = NULL;
  mm_http_server *server
      = mm_http_server_create (loop, "127.0.0.1", 0, 4096, echo, NULL, &error);
  mm_http_client *client = mm_http_client_create (loop, 2);
  char *url
      = g_strdup_printf ("http://127.0.0.1:%u/", mm_http_server_port (server));
  mm_http_client_call (client, "POST", url, "{\"hello\":\"world\"}", 1000,
                       answered, loop);
  ev_run (loop, 0);
  g_free (url);
  mm_http_client_destroy (client);
  mm_http_server_destroy (server);
  ev_loop_destroy (loop);
  return 0;
}
