/* Forwards bytes to another instance and prints its answer.  Forwarding to a
   peer that does not run fails at once with a typed error.  */
#include <masticmill.h>

#include <stdio.h>

/* Answers a forwarded job at once.  */
static void
on_job (mm_peer *p, uint64_t link_id, uint64_t req_id, uint32_t hops,
        const uint8_t *job, size_t len, void *ctx)
{
  printf ("owner got %zu bytes after %u hops\n", len, hops);
  mm_peer_reply (p, link_id, req_id, 200, 0, "{\"status\":\"complete\"}");
}

/* Prints the answer or the error and stops the event loop.  */
static void
on_answer (const mm_peer_answer *answer, void *ctx)
{
  if (answer->error)
    printf ("%s: %s\n", mm_error_code_name (answer->error->code),
            answer->error->message);
  else
    printf ("answer %u: %s\n", answer->status, answer->body);
  ev_break (ctx, EVBREAK_ALL);
}

int
main (void)
{
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  mm_peer *owner = mm_peer_create (loop, "127.0.0.1", 0, on_job, NULL, NULL);
  mm_peer *other = mm_peer_create (loop, "127.0.0.1", 0, on_job, NULL, NULL);
  char *addr = g_strdup_printf ("127.0.0.1:%u", mm_peer_port (owner));
  mm_peer_forward (other, addr, 1, (const uint8_t *)"job", 3, 1000, on_answer,
                   loop);
  ev_run (loop, 0);
  mm_peer_destroy (owner);
  mm_peer_forward (other, addr, 1, (const uint8_t *)"job", 3, 1000, on_answer,
                   loop);
  ev_run (loop, 0);
  mm_peer_destroy (other);
  g_free (addr);
  ev_loop_destroy (loop);
  return 0;
}
