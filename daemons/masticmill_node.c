/* masticmill-node: an instance of the dispatcher, on the prepared platform
   or on our own stand-ins.  SIGTERM is a graceful shutdown; SIGHUP says
   that the settings may have changed.  */
#include "mm_native.h"
#include "platform.h"

#include "config.h"
#include "mm_event.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

typedef struct
{
  struct ev_loop *loop;
  mm_node *node;
  mm_front *front;
  mm_http_handler on_request; /* of callers */
  mm_http_client *to_upstreams;
  mm_http_client *to_store;
  mm_exec_http *exec;
  mm_store_http *store_calls;
  mm_store_port store;
  ev_timer leave_timer;
  mm_time_ms leave_ms;
} process;

static bool
choose_interface (process *p, const mm_node_settings *s, GError **error)
{
  if (strcmp (s->interface, "platform") == 0)
    {
      p->exec = mm_exec_http_create (p->to_upstreams, &pf_exec_wire);
      p->store = pf_store_port (p->store_calls);
      p->on_request = pf_front_request;
      return true;
    }
  if (strcmp (s->interface, "own") == 0)
    {
      p->exec = mm_exec_http_create (p->to_upstreams, &mm_native_exec_wire);
      p->store = mm_native_store_port (p->store_calls);
      p->on_request = mm_native_front_request;
      return true;
    }
  g_set_error (error, MM_ERROR, MM_ERROR_CONFIG_RANGE,
               "node.interface is %s, not own or platform", s->interface);
  return false;
}

static void
leave_cb (struct ev_loop *loop, ev_timer *w, int revents)
{
  process *p = w->data;
  if (mm_clock_now_ms () - p->leave_ms >= MM_LEAVE_DRAIN_MS)
    mm_front_set_leaving (p->front);
  if (mm_node_can_exit (p->node, mm_front_connections (p->front)))
    ev_break (loop, EVBREAK_ALL);
}

static void
on_stop (struct ev_loop *loop, ev_signal *w, int revents)
{
  process *p = w->data;
  if (p->leave_ms)
    return;
  mm_log_event (MM_EV_STOPPING, MM_INT (w->signum));
  p->leave_ms = mm_clock_now_ms ();
  mm_node_leave (p->node);
  ev_timer_init (&p->leave_timer, leave_cb, 0., MM_LEAVE_CHECK_MS / 1000.);
  p->leave_timer.data = p;
  ev_timer_start (loop, &p->leave_timer);
}

/* Addresses and bounds are fixed for a process's life; a change of the
   rest is taken at the next start.  */
static void
on_reload (struct ev_loop *loop, ev_signal *w, int revents)
{
  mm_log_event (MM_EV_RELOAD, MM_INT (w->signum),
                MM_TEXT ("settings stay as at the start"));
}

/* GET /metrics, or the state as JSON.  */
static void
on_state (mm_http_request *req, void *ctx)
{
  mm_node *node = ((process *)ctx)->node;
  bool metrics = strcmp (mm_http_request_path (req), "/metrics") == 0;
  char *text = metrics ? mm_node_metrics (node) : mm_node_dump (node);
  mm_http_reply (req, 200, text, 0);
  free (text);
}

static void
watch_signals (process *p, ev_signal *watchers)
{
  static const int stops[] = { SIGTERM, SIGINT };
  for (size_t i = 0; i < G_N_ELEMENTS (stops); i++)
    {
      ev_signal_init (&watchers[i], on_stop, stops[i]);
      watchers[i].data = p;
      ev_signal_start (p->loop, &watchers[i]);
    }
  ev_signal_init (&watchers[2], on_reload, SIGHUP);
  ev_signal_start (p->loop, &watchers[2]);
  signal (SIGPIPE, SIG_IGN);
}

static bool
start (process *p, const mm_node_settings *s, GError **error)
{
  p->to_upstreams
      = mm_http_client_create (p->loop, MM_DEFAULT_UPSTREAM_CONNECTIONS);
  p->to_store = mm_http_client_create (p->loop, MM_PLATFORM_CONNECTIONS);
  mm_http_client_set_member (p->to_store, s->name);
  p->store_calls = mm_store_http_create (p->to_store, s->store);
  if (!choose_interface (p, s, error))
    return false;
  p->store.link_mbps = s->link_mbps;
  mm_exec_port exec = mm_exec_http_port (p->exec);
  p->node = mm_node_create (p->loop, s, &exec, &p->store, error);
  if (p->node)
    p->front = mm_front_create (p->loop, s, p->node, p->on_request, error);
  return p->front
         && mm_http_server_create (
             p->loop, s->address, (uint16_t)s->state_port,
             MM_STATE_MAX_BODY_BYTES, on_state, p, error);
}

static int
run (const mm_node_settings *s)
{
  process p = { .loop = EV_DEFAULT };
  GError *error = NULL;
  ev_signal watchers[3];
  watch_signals (&p, watchers);
  if (!start (&p, s, &error))
    {
      g_critical ("cannot start: %s", error->message);
      mm_log_close ();
      return 1;
    }
  mm_log_event (MM_EV_STARTED, MM_TEXT (s->name), MM_TEXT (s->datacentre),
                MM_TEXT (s->front));
  ev_run (p.loop, 0);
  mm_log_event (MM_EV_STOPPED, MM_INT (mm_jobs_count (mm_node_jobs (p.node))),
                MM_INT (mm_front_connections (p.front)));
  mm_jobs_abandon (mm_node_jobs (p.node), "this instance has stopped");
  mm_front_destroy (p.front);
  mm_log_close ();
  return 0;
}

int
main (int argc, char **argv)
{
  mm_log_init ("masticmill-node");
  mm_daemon_catch_crashes ();
  mm_node_settings s;
  mm_node_settings_defaults (&s);
  GError *error = NULL;
  switch (mm_daemon_args (argc, argv,
                          "Instance of the dispatcher: takes jobs, runs "
                          "their tasks on upstreams.",
                          mm_node_setting_specs, &s, &error))
    {
    case MM_DAEMON_EXIT:
      return 0;
    case MM_DAEMON_ERROR:
      fprintf (stderr, "masticmill-node: %s\n", error->message);
      return 2;
    case MM_DAEMON_RUN:
      break;
    }
  return run (&s);
}
