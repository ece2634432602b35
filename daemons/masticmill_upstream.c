/* masticmill-upstream: the stand-in for an upstream, as a daemon.  SIGTERM and
   SIGINT drain it: running tasks end before the process does.  */
#define _GNU_SOURCE
#include <masticmill.h>

#include <signal.h>
#include <stdio.h>
#include <unistd.h>

static struct ev_loop *loop;
static char **arguments; /* of main(), for the restart in crash() */

/* Simulates a crash and a restart.  Closing all descriptors resets the
   connections, and nothing listens for back_ms.  The program is then executed
   again in the same process, without any of its state, so that no other
   process has to restart it.  */
static void
crash (void *ctx)
{
  const mm_upstream_settings *s = ctx;
  signal (SIGTERM, SIG_DFL);
  signal (SIGINT, SIG_DFL);
  close_range (STDERR_FILENO + 1, ~0U, 0);
  g_usleep ((gulong)s->back_ms * 1000);
  execv ("/proc/self/exe", arguments);
  _exit (1);
}

static void
on_drained (void *ctx)
{
  ev_break (loop, EVBREAK_ALL);
}

static void
on_signal (struct ev_loop *signal_loop, ev_signal *w, int revents)
{
  g_message ("signal %d: draining", w->signum);
  mm_upstream_drain (w->data, on_drained, NULL);
}

int
main (int argc, char **argv)
{
  arguments = argv;
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
  mm_upstream *upstream = mm_upstream_create (loop, &s, &err);
  if (!upstream)
    {
      g_critical ("%s", err->message);
      return 1;
    }
  mm_upstream_set_crash_handler (upstream, crash, &s);
  ev_signal term, intr;
  ev_signal_init (&term, on_signal, SIGTERM);
  ev_signal_init (&intr, on_signal, SIGINT);
  term.data = intr.data = upstream;
  ev_signal_start (loop, &term);
  ev_signal_start (loop, &intr);
  g_message ("upstream %s listening on port %" G_GINT64_FORMAT, s.name,
             s.port);
  ev_run (loop, 0);
  mm_upstream_destroy (upstream);
  return 0;
}
