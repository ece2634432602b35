/* masticmill-node: an instance of the dispatcher, as a daemon.  It works with
   the users' platform or with this project's stand-ins for it.  SIGTERM and
   SIGINT start a graceful shutdown; SIGHUP is only logged (see on_reload).  */
#include "mm_native.h"
#include "platform.h"

#include "config.h"
#include "mm_event.h"
#include "mm_http_limits.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

/* The parts of the process.  */
typedef struct
{
  struct ev_loop *loop;
  mm_node *node;
  mm_front *front;                 /* servers for callers and the balancer */
  mm_front_protocol protocol;      /* spoken with callers */
  mm_http_client *upstream_client; /* connections to upstreams */
  mm_http_client *store_client;    /* connections to the store */
  mm_http_client *config_client; /* connection that reads the configuration */
  mm_exec_http *exec;            /* calls to upstreams */
  mm_store_http *store_http;     /* calls to the store */
  mm_store_port store;           /* uses store_http */
  ev_timer leave_timer;          /* runs during a graceful shutdown */
  mm_time_ms leave_started_ms;   /* when the shutdown started, 0: not yet */
} process;

/* Sets up the protocols spoken with upstreams, store and callers, by the
   setting node.interface.  Returns false with @error set for an unknown
   interface.  */
static bool
choose_interface (process *p, const mm_node_settings *settings, GError **error)
{
  if (strcmp (settings->interface, "platform") == 0)
    {
      p->exec = mm_exec_http_create (p->upstream_client, &pf_exec_wire);
      p->store = pf_store_port (p->store_http);
      p->protocol = (mm_front_protocol){ .request = pf_front_request,
                                         .admit = pf_front_admit };
      return true;
    }
  if (strcmp (settings->interface, "own") == 0)
    {
      p->exec = mm_exec_http_create (p->upstream_client, &mm_native_exec_wire);
      p->store = mm_native_store_port (p->store_http);
      p->protocol = (mm_front_protocol){ .request = mm_native_front_request,
                                         .admit = mm_native_front_admit };
      return true;
    }
  g_set_error (error, MM_ERROR, MM_ERROR_CONFIG_RANGE,
               "node.interface is %s, not own or platform",
               settings->interface);
  return false;
}

/* Continues a graceful shutdown.  After MM_LEAVE_DRAIN_MS the load balancer
   has stopped sending new connections, and the open ones are closed with their
   next answers.  The process exits when mm_node_can_exit() allows it.  */
static void
check_left_cb (struct ev_loop *loop, ev_timer *watcher, int revents)
{
  process *p = watcher->data;
  if (mm_clock_now_ms () - p->leave_started_ms >= MM_LEAVE_DRAIN_MS)
    mm_front_set_leaving (p->front);
  if (mm_node_can_exit (p->node, mm_front_connections (p->front)))
    ev_break (loop, EVBREAK_ALL);
}

/* Starts a graceful shutdown; later signals are ignored.  */
static void
on_stop (struct ev_loop *loop, ev_signal *watcher, int revents)
{
  process *p = watcher->data;
  if (p->leave_started_ms)
    return;
  mm_log_event (MM_EV_STOPPING, MM_INT (watcher->signum));
  p->leave_started_ms = mm_clock_now_ms ();
  mm_node_leave (p->node);
  ev_timer_init (&p->leave_timer, check_left_cb, 0.,
                 MM_LEAVE_CHECK_MS / 1000.);
  p->leave_timer.data = p;
  ev_timer_start (loop, &p->leave_timer);
}

/* SIGHUP says that the settings may have changed.  They are not read again:
   addresses and limits are fixed while a process runs, and a change of any
   other setting takes effect at the next start.  */
static void
on_reload (struct ev_loop *loop, ev_signal *watcher, int revents)
{
  mm_log_event (MM_EV_RELOAD, MM_INT (watcher->signum),
                MM_TEXT ("settings stay as at the start"));
}

/* Answers GET /metrics with the metrics, and any other path with the state as
   JSON.  */
static void
on_state (mm_http_request *req, void *ctx)
{
  mm_node *node = ((process *)ctx)->node;
  bool metrics = strcmp (mm_http_request_path (req), "/metrics") == 0;
  char *text = metrics ? mm_node_metrics (node) : mm_node_dump (node);
  mm_http_reply (req, 200, text, 0);
  free (text);
}

/* Starts the three @watchers: SIGTERM, SIGINT and SIGHUP.  SIGPIPE is ignored,
   so that writing to a closed connection only returns an error.  */
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

/* Creates all parts of the process and starts its servers.  Returns false with
   @error set on failure; what was created is left to the exit of the
   process.  */
static bool
start (process *p, const mm_node_settings *settings, GError **error)
{
  p->upstream_client
      = mm_http_client_create (p->loop, MM_DEFAULT_UPSTREAM_CONNECTIONS);
  p->store_client = mm_http_client_create (p->loop, MM_PLATFORM_CONNECTIONS);
  p->config_client = mm_http_client_create (p->loop, 1);
  mm_http_client_set_member (p->store_client, settings->name);
  mm_http_client_set_member (p->config_client, settings->name);
  p->store_http = mm_store_http_create (p->store_client, p->config_client,
                                        settings->store);
  if (!choose_interface (p, settings, error))
    return false;
  p->store.link_mbps = settings->link_mbps;
  mm_exec_port exec = mm_exec_http_port (p->exec);
  p->node = mm_node_create (p->loop, settings, &exec, &p->store, error);
  if (p->node)
    p->front
        = mm_front_create (p->loop, settings, p->node, &p->protocol, error);
  mm_http_server *state_server
      = p->front ? mm_http_server_create (
            p->loop, settings->address, (uint16_t)settings->state_port,
            MM_STATE_MAX_BODY_BYTES, on_state, p, error)
                 : NULL;
  if (!state_server)
    return false;
  mm_http_limits limits = { .connections = MM_STATE_CONNECTIONS,
                            .budget = mm_node_budget (p->node) };
  mm_http_server_set_limits (state_server, &limits);
  return true;
}

/* Runs the instance until its shutdown is complete.  Return: exit status.  */
static int
run (const mm_node_settings *settings)
{
  process p = { .loop = EV_DEFAULT };
  GError *error = NULL;
  ev_signal watchers[3];
  watch_signals (&p, watchers);
  if (!start (&p, settings, &error))
    {
      g_critical ("cannot start: %s", error->message);
      mm_log_close ();
      return 1;
    }
  mm_log_event (MM_EV_STARTED, MM_TEXT (settings->name),
                MM_TEXT (settings->datacentre), MM_TEXT (settings->front));
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
  mm_node_settings settings;
  mm_node_settings_defaults (&settings);
  GError *error = NULL;
  switch (mm_daemon_args (argc, argv,
                          "Instance of the dispatcher: accepts jobs, runs "
                          "their tasks on upstreams.",
                          mm_node_setting_specs, &settings, &error))
    {
    case MM_DAEMON_EXIT:
      return 0;
    case MM_DAEMON_ERROR:
      fprintf (stderr, "masticmill-node: %s\n", error->message);
      return 2;
    case MM_DAEMON_RUN:
      break;
    }
  return run (&settings);
}
