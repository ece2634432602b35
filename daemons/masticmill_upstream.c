/* masticmill-upstream: the upstream executor stand-in, as a daemon.  */
#include <masticmill.h>

#include <signal.h>
#include <stdio.h>

static struct ev_loop *loop;

static void
drained (void *ctx)
{
  ev_break (loop, EVBREAK_ALL);
}

static void
on_signal (struct ev_loop *l, ev_signal *w, int revents)
{
  g_message ("signal %d: draining", w->signum);
  mm_upstream_drain (w->data, drained, NULL);
}

int
main (int argc, char **argv)
{
  mm_log_init ("masticmill-upstream");
  mm_upstream_settings s;
  mm_upstream_settings_defaults (&s);
  GError *err = NULL;
  switch (mm_daemon_args (argc, argv,
                          "Stand-in upstream executor with slots and modes.",
                          mm_upstream_setting_specs, &s, &err))
    {
    case MM_DAEMON_EXIT:
      return 0;
    case MM_DAEMON_ERROR:
      fprintf (stderr, "masticmill-upstream: %s\n", err->message);
      return 2;
    case MM_DAEMON_RUN:
      break;
    }
  signal (SIGPIPE, SIG_IGN);
  loop = EV_DEFAULT;
  mm_upstream *u = mm_upstream_create (loop, &s, &err);
  if (!u)
    {
      g_critical ("%s", err->message);
      return 1;
    }
  ev_signal term, intr;
  ev_signal_init (&term, on_signal, SIGTERM);
  ev_signal_init (&intr, on_signal, SIGINT);
  term.data = intr.data = u;
  ev_signal_start (loop, &term);
  ev_signal_start (loop, &intr);
  g_message ("upstream %s listening on port %" G_GINT64_FORMAT, s.name,
             s.port);
  ev_run (loop, 0);
  mm_upstream_destroy (u);
  return 0;
}
