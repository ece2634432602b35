/* masticmill-platform: the stand-in for the platform, as a daemon.  */
#include <masticmill.h>

#include <signal.h>
#include <stdio.h>

/* Ends the process; the stand-in has nothing to finish.  */
static void
on_signal (struct ev_loop *signal_loop, ev_signal *w, int revents)
{
  ev_break (signal_loop, EVBREAK_ALL);
}

int
main (int argc, char **argv)
{
  mm_log_init ("masticmill-platform");
  mm_platform_settings s;
  mm_platform_settings_defaults (&s);
  GError *err = NULL;
  switch (mm_daemon_args (argc, argv,
                          "Stand-in platform: log, member list, faults.",
                          mm_platform_setting_specs, &s, &err))
    {
    case MM_DAEMON_EXIT:
      return 0;
    case MM_DAEMON_ERROR:
      fprintf (stderr, "masticmill-platform: %s\n", err->message);
      return 2;
    case MM_DAEMON_RUN:
      break;
    }
  signal (SIGPIPE, SIG_IGN);
  struct ev_loop *loop = EV_DEFAULT;
  mm_platform *platform = mm_platform_create (loop, &s, &err);
  if (!platform)
    {
      g_critical ("%s", err->message);
      return 1;
    }
  ev_signal term, intr;
  ev_signal_init (&term, on_signal, SIGTERM);
  ev_signal_init (&intr, on_signal, SIGINT);
  ev_signal_start (loop, &term);
  ev_signal_start (loop, &intr);
  g_message ("platform listening on port %" G_GINT64_FORMAT, s.port);
  ev_run (loop, 0);
  mm_platform_destroy (platform);
  return 0;
}
