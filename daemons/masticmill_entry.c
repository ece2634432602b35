/* masticmill-entry: an entry instance, as a daemon.  SIGTERM and SIGINT start
   a graceful shutdown, which waits for the jobs in flight.  */
#include <masticmill.h>

#include <signal.h>
#include <stdio.h>

static struct ev_loop *loop; /* ended by on_shutdown_done() */

static void
on_shutdown_done (void *ctx)
{
  ev_break (loop, EVBREAK_ALL);
}

static void
on_signal (struct ev_loop *signal_loop, ev_signal *w, int revents)
{
  g_message ("signal %d: graceful shutdown", w->signum);
  mm_entry_shutdown (w->data, on_shutdown_done, NULL);
}

int
main (int argc, char **argv)
{
  mm_daemon_catch_crashes ();
  mm_log_init ("masticmill-entry");
  mm_entry_settings s;
  mm_entry_settings_defaults (&s);
  GError *err = NULL;
  switch (mm_daemon_args (
      argc, argv, "Entry instance: accepts jobs, dispatches their tasks.",
      mm_entry_setting_specs, &s, &err))
    {
    case MM_DAEMON_EXIT:
      return 0;
    case MM_DAEMON_ERROR:
      fprintf (stderr, "masticmill-entry: %s\n", err->message);
      return 2;
    case MM_DAEMON_RUN:
      break;
    }
  signal (SIGPIPE, SIG_IGN);
  loop = EV_DEFAULT;
  mm_entry *entry = mm_entry_create (loop, &s, &err);
  if (!entry)
    {
      g_critical ("%s", err->message);
      return 1;
    }
  ev_signal term, intr;
  ev_signal_init (&term, on_signal, SIGTERM);
  ev_signal_init (&intr, on_signal, SIGINT);
  term.data = intr.data = entry;
  ev_signal_start (loop, &term);
  ev_signal_start (loop, &intr);
  g_message ("entry %s listening on port %" G_GINT64_FORMAT, s.name, s.port);
  ev_run (loop, 0);
  mm_entry_destroy (entry);
  return 0;
}
