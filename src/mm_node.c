/* mm_node: creates the modules of an instance and runs its timers.  */
#include "mm_node.h"

#include "config.h"
#include "mm_catalog.h"
#include "mm_configuration.h"
#include "mm_evacuations.h"
#include "mm_event.h"
#include "mm_datacentres.h"
#include "mm_metrics.h"
#include "mm_log_sink.h"
#include "mm_kept.h"
#include "mm_list_share.h"
#include "mm_members.h"
#include "mm_ownership.h"
#include "mm_stream.h"

#include <cJSON.h>
#include <string.h>

struct mm_node
{
  struct ev_loop *loop;
  mm_node_settings settings; /* the strings belong to the caller */
  ev_timer tick;
  ev_check stall_check;
  ev_prepare before_wait;
  mm_time_ms started_ms;
  mm_time_ms last_loop_ms;    /* when the event loop last iterated */
  mm_time_ms wait_from_ms;    /* when its last wait began */
  mm_time_ms handled_from_ms; /* when the last wait began whose events have
                                 been handled, or are being handled */
  mm_budget *budget;
  mm_catalog *catalog;
  mm_evacuations *evacuations;
  mm_configuration *config;
  mm_list_share *list;
  mm_stream *upstreams; /* stream of the upstream list, owned by list */
  mm_datacentres *owned_datacentres;
  mm_predecessors *predecessors;
  mm_members *members;
  mm_owner_finder *finder;
  mm_owner *owner;
  mm_mesh *mesh;
  mm_fleet *fleet;
  mm_jobs *jobs;
  mm_kept *kept;
  mm_ownership *ownership;
  mm_suspects *suspects;
  mm_time_ms leaving_ms; /* when the shutdown began, 0: not yet */
  /* When this instance began to own partitions, 0: it owns none.  */
  mm_time_ms list_needed_ms;
  /* When the upstream list went out of date, 0: it is current.  */
  mm_time_ms list_behind_since_ms;
};

#define F(field) offsetof (mm_node_settings, field)
const mm_setting_spec mm_node_setting_specs[] = {
  { "node.name", MM_SETTING_STRING, F (name), 0, 0, "name of this machine" },
  { "node.address", MM_SETTING_STRING, F (address), 0, 0,
    "IP address to listen on" },
  { "node.datacentre", MM_SETTING_STRING, F (datacentre), 0, 0,
    "data centre of this machine" },
  { "node.datacentres", MM_SETTING_STRINGS, F (datacentres), 0, 0,
    "all data centres" },
  { "node.front", MM_SETTING_STRING, F (front), 0, 0,
    "ip:port where callers submit jobs" },
  { "node.ready", MM_SETTING_STRING, F (ready), 0, 0,
    "ip:port of the balancer's readiness check" },
  { "node.mesh_port", MM_SETTING_INT, F (mesh_port), 1, 65535,
    "port for the other instances" },
  { "node.mesh_advertise", MM_SETTING_STRING, F (mesh_advertise), 0, 0,
    "ip:port that other instances connect to, empty for address and "
    "mesh_port" },
  { "node.state_port", MM_SETTING_INT, F (state_port), 1, 65535,
    "port of the state dump" },
  { "node.interface", MM_SETTING_STRING, F (interface), 0, 0,
    "protocol to the platform: own (of the stand-ins) or platform" },
  { "node.grace_ms", MM_SETTING_INT, F (grace_ms), 1000, 600000,
    "ms from SIGTERM to the kill" },
  { "node.link_mbps", MM_SETTING_FLOAT, F (link_mbps), 0, 1000000,
    "Mbit/s of this machine's link, 0 for no limit" },
  { "dispatch.late_binding", MM_SETTING_BOOL, F (late_binding), 0, 0,
    "tasks without free capacity reserve at several owners" },
  { "dispatch.reservations", MM_SETTING_INT, F (reservations), 1,
    MM_RESERVATIONS_MAX, "owners that a task reserves at" },
  { "dispatch.overload_control", MM_SETTING_BOOL, F (overload_control), 0, 0,
    "refuse and drop jobs by measured queueing delays" },
  { "dispatch.overload_target_ms", MM_SETTING_INT, F (overload_target_ms), 1,
    10000, "queueing delay in ms above which a priority is overloaded" },
  { "ownership.transfer_runs", MM_SETTING_BOOL, F (transfer_runs), 0, 0,
    "planned handovers transfer the runs of upstreams" },
  { "limits.memory_mb", MM_SETTING_INT, F (memory_mb), 64, 1048576,
    "MB of memory of this machine" },
  { "limits.descriptors", MM_SETTING_INT, F (descriptors), 600, 1048576,
    "file descriptors of this process" },
  { "limits.body_kb", MM_SETTING_INT, F (body_kb), 16, 65536,
    "KiB of the largest body of a caller's request" },
  { "store.address", MM_SETTING_STRING, F (store), 0, 0,
    "ip:port of the platform's store" },
  { "store.partitions", MM_SETTING_INT, F (partitions), 1, 4096,
    "partitions of a topic" },
  { NULL, 0, 0, 0, 0, NULL }
};
#undef F

void
mm_node_settings_defaults (mm_node_settings *s)
{
  memset (s, 0, sizeof *s);
  s->name = g_strdup ("node");
  s->address = g_strdup ("127.0.0.1");
  s->datacentre = g_strdup ("dc1");
  s->datacentres = g_strsplit ("dc1", ",", 0);
  s->front = g_strdup ("127.0.0.1:7400");
  s->ready = g_strdup ("127.0.0.1:7401");
  s->store = g_strdup ("127.0.0.1:7000");
  s->interface = g_strdup ("own");
  s->reservations = MM_DEFAULT_RESERVATIONS;
  s->overload_target_ms = MM_DEFAULT_OVERLOAD_TARGET_MS;
  s->mesh_advertise = g_strdup ("");
  s->mesh_port = MM_DEFAULT_MESH_PORT;
  s->state_port = MM_DEFAULT_STATE_PORT;
  s->partitions = MM_DEFAULT_PARTITIONS;
  s->grace_ms = MM_DEFAULT_GRACE_MS;
  s->link_mbps = MM_DEFAULT_LINK_MBPS;
  s->memory_mb = MM_DEFAULT_MEMORY_MB;
  s->descriptors = MM_DEFAULT_DESCRIPTORS;
  s->body_kb = MM_DEFAULT_BODY_KB;
}

/* Runs a tick in this iteration of the event loop.  What follows from a change
   in the store must not wait for the next tick, as a restarted instance takes
   several such steps until it owns upstreams.  */
static void
tick_now (void *ctx)
{
  mm_node *n = ctx;
  ev_feed_event (n->loop, &n->tick, EV_TIMER);
}

static mm_handover_step
advance_handover (void *ctx, const char *datacentre, mm_handover_facts *f)
{
  return mm_ownership_advance_handover (((mm_node *)ctx)->ownership,
                                        datacentre, f);
}

static bool
lists_upstreams (void *ctx, const char *datacentre)
{
  const mm_node *n = ctx;
  return !mm_stream_is_current (n->upstreams)
         || mm_catalog_lists_any_in (n->catalog, datacentre);
}

static mm_partition_state
partition_state_of (void *ctx, const mm_upstream_info *u, uint64_t *fence)
{
  return mm_datacentres_upstream_state (((mm_node *)ctx)->owned_datacentres, u,
                                        fence);
}

static void
renew_fence (void *ctx, const mm_upstream_info *u)
{
  mm_datacentres_renew_fence (((mm_node *)ctx)->owned_datacentres, u);
}

static uint64_t
partition_changes (void *ctx)
{
  return mm_datacentres_changes (((mm_node *)ctx)->owned_datacentres);
}

static bool
owns_partitions (void *ctx)
{
  return mm_datacentres_owns_any (((mm_node *)ctx)->owned_datacentres);
}

/* Returns the age of the upstream list, counted only while this instance owns
   partitions; 0 if it owns none.  */
static mm_time_ms
list_age_ms (const mm_node *n, mm_time_ms now)
{
  mm_time_ms known_ms = mm_stream_known_as_of_ms (n->upstreams);
  return n->list_needed_ms ? now - MAX (known_ms, n->list_needed_ms) : 0;
}

/* Logs when the upstream list goes out of date and when it is current again.
   An instance that owns partitions and cannot read which upstreams are in them
   starts no task there, which operators have to know.  */
static void
check_list_age (mm_node *n, mm_time_ms now)
{
  if (!mm_datacentres_owns_any (n->owned_datacentres))
    n->list_needed_ms = 0;
  else if (!n->list_needed_ms)
    n->list_needed_ms = now;
  mm_time_ms age_ms = list_age_ms (n, now);
  if (!n->list_behind_since_ms && age_ms > MM_LIST_BEHIND_MS)
    {
      n->list_behind_since_ms = now - age_ms;
      mm_log_event (MM_EV_LIST_BEHIND, MM_INT (age_ms));
    }
  else if (n->list_behind_since_ms && age_ms <= MM_LIST_BEHIND_MS)
    {
      mm_log_event (MM_EV_LIST_KNOWN, MM_INT (now - n->list_behind_since_ms));
      n->list_behind_since_ms = 0;
    }
}

/* Returns whether the upstream list is current and names every upstream.  */
static bool
list_complete (void *ctx)
{
  const mm_node *n = ctx;
  return mm_stream_is_current (n->upstreams)
         && mm_list_share_complete (n->list);
}

/* Runs the periodic work of all modules, each MM_EXEC_TICK_MS and after
   tick_now().  */
static void
tick_cb (struct ev_loop *loop, ev_timer *w, int revents)
{
  mm_node *n = w->data;
  mm_time_ms now = mm_clock_now_ms ();
  mm_configuration_tick (n->config);
  /* Only owners of partitions, instances with kept jobs and those that search
     for owners read the list.
     When hundreds of instances started at once and all read the list, that
     used the store's whole bandwidth for longer than a configuration may take
     to be in force.  */
  if (mm_datacentres_owns_any (n->owned_datacentres)
      || mm_kept_needs_upstream_list (n->kept)
      || mm_owner_finder_needs_list (n->finder))
    mm_stream_tick (n->upstreams);
  else
    mm_stream_pause (n->upstreams);
  check_list_age (n, now);
  mm_catalog_tick (n->catalog, mm_stream_in_contact (n->upstreams));
  mm_members_tick (n->members);
  /* Joining a group waits until it is known whether the previous incarnation
     is still a member, but not for long, as the store may be slow.  */
  if (mm_members_loaded (n->members)
      || now - n->started_ms >= MM_PREDECESSORS_WAIT_MS)
    mm_datacentres_tick (n->owned_datacentres);
  mm_ownership_tick (n->ownership,
                     mm_stream_is_current (n->upstreams)
                         && mm_evacuations_known (n->evacuations));
  mm_suspects_tick (n->suspects);
  mm_mesh_tick (n->mesh);
  mm_owner_set_confirmed (n->owner,
                          mm_datacentres_confirmed (n->owned_datacentres));
  mm_owner_tick (n->owner);
  mm_fleet_tick (n->fleet);
  mm_jobs_tick (n->jobs);
  mm_list_share_tick (n->list);
  mm_kept_tick (n->kept, list_complete (n));
}

/* Writes the log and records the beginning of the wait.  Runs last before each
   wait of the event loop, so that the log of a process that is killed holds
   the lines of all requests that it answered.  */
static void
before_wait_cb (struct ev_loop *loop, ev_prepare *w, int revents)
{
  mm_log_flush ();
  ((mm_node *)w->data)->wait_from_ms = mm_clock_now_ms ();
}

/* Detects a stall of the process.  Runs first after each wait of the event
   loop: after a stall, no queued task may start before messages of the callers
   are read, as the callers may have sent their jobs to other instances, where
   they run now.  Therefore all links are closed and all jobs abandoned before
   any other event is handled.  The upstream list, which is out of date by the
   length of the stall, is read again at the next tick.  */
static void
stall_cb (struct ev_loop *loop, ev_check *w, int revents)
{
  mm_node *n = w->data;
  mm_time_ms now = mm_clock_now_ms ();
  mm_time_ms stalled_ms = now - n->last_loop_ms;
  /* The events of the previous wait have been handled: what was received
     before it began.  What was received before it ended may not be among them,
     as a process that is continued after a stop ends its wait without
     events.  */
  mm_owner_set_input_read (n->owner, n->handled_from_ms);
  n->handled_from_ms = n->wait_from_ms;
  mm_time_ms busy_ms = n->wait_from_ms - n->last_loop_ms;
  n->last_loop_ms = now;
  if (stalled_ms > MM_LOOP_GAP_MS && stalled_ms <= MM_STALL_MS)
    mm_log_event (MM_EV_LOOP_GAP, MM_INT (stalled_ms),
                  MM_INT (mm_jobs_count (n->jobs)), MM_INT (busy_ms));
  if (stalled_ms <= MM_STALL_MS)
    return;
  mm_metrics_count (MM_CT_STALLS);
  mm_log_event (MM_EV_STALLED, MM_INT (stalled_ms),
                MM_INT (mm_jobs_count (n->jobs)), MM_INT (busy_ms));
  mm_mesh_close_links (n->mesh);
  mm_stream_poll_now (n->upstreams);
  mm_jobs_abandon (n->jobs, "this instance stood still");
}

static void
start_timers (mm_node *n)
{
  n->started_ms = n->last_loop_ms = mm_clock_now_ms ();
  n->wait_from_ms = n->handled_from_ms = n->started_ms;
  ev_timer_init (&n->tick, tick_cb, 0., MM_EXEC_TICK_MS / 1000.);
  n->tick.data = n;
  ev_timer_start (n->loop, &n->tick);
  ev_check_init (&n->stall_check, stall_cb);
  ev_set_priority (&n->stall_check, EV_MAXPRI);
  n->stall_check.data = n;
  ev_check_start (n->loop, &n->stall_check);
  ev_prepare_init (&n->before_wait, before_wait_cb);
  ev_set_priority (&n->before_wait, EV_MINPRI);
  n->before_wait.data = n;
  ev_prepare_start (n->loop, &n->before_wait);
}

/* Returns a member name that is unique to this incarnation.  A restarted
   instance is a new member: the partitions of the previous incarnation are not
   assigned until its membership has ended, so that two incarnations never
   have the same fencing token.  */
static char *
new_member_name (const mm_node_settings *s)
{
  char *instance = g_strdup_printf ("%s.%" G_GINT64_MODIFIER "x", s->name,
                                    mm_clock_wall_ms ());
  char *addr = g_strdup_printf ("%s:%d", s->address, (int)s->mesh_port);
  char *member = mm_members_name (
      instance, *s->mesh_advertise ? s->mesh_advertise : addr, s->datacentre);
  g_free (instance);
  g_free (addr);
  return member;
}

/* Called when partitions of @group were released or an instance joins it, and
   with NULL as @group when the member list was read again.  */
static void
on_group_changed (void *ctx, const char *group)
{
  mm_node *n = ctx;
  if (group)
    mm_datacentres_poll_now (n->owned_datacentres, group);
  /* The owners of the upstreams that this instance will get must know it when
     they release them: they transfer the runs to it.  */
  else if (n->settings.transfer_runs
           && mm_clock_now_ms () - n->started_ms < MM_MESH_LINK_KEEP_MS)
    mm_mesh_require_links_in (n->mesh, n->settings.datacentre);
  tick_now (n);
}

/* The partitions of a previous incarnation are assigned to other members, of
   which this instance is one, once it has been removed.  */
static void
on_predecessor_removed (void *ctx, const char *group)
{
  mm_node *n = ctx;
  if (strcmp (group, MM_JOBS_GROUP) == 0)
    mm_kept_poll_now (n->kept);
  on_group_changed (n, group);
}

static mm_time_ms
list_known_ms (void *ctx)
{
  return mm_stream_known_as_of_ms (((mm_node *)ctx)->upstreams);
}

/* The partitions of all data centres are equal in number.  */
static const char *
owner_of_upstream (void *ctx, const mm_upstream_info *u)
{
  mm_node *n = ctx;
  uint32_t partition
      = mm_partitions_index_of (u->name, (uint32_t)n->settings.partitions);
  return mm_members_holder (n->members, u->datacentre, partition);
}

static void
on_evacuations_changed (void *ctx)
{
  mm_node *n = ctx;
  mm_mesh_notify_evacuations (n->mesh);
  tick_now (n);
}

/* Creates the modules of the instance and connects them; the owner and the
   mesh exist already.  */
static void
create_modules (mm_node *n, const mm_store_port *store, const char *member)
{
  const mm_node_settings *s = &n->settings;
  n->catalog = mm_catalog_create ();
  n->fleet = mm_fleet_create (n->owner, n->mesh, s->datacentre);
  mm_fleet_set_late_binding (n->fleet, s->late_binding,
                             (uint32_t)s->reservations);
  n->suspects = mm_suspects_create ();
  mm_owner_set_suspects (n->owner, n->suspects);
  mm_mesh_set_suspects (n->mesh, n->suspects);
  mm_fleet_set_suspects (n->fleet, n->suspects);
  n->evacuations = mm_evacuations_create (s->datacentres);
  mm_evacuations_on_changed (n->evacuations, on_evacuations_changed, n);
  mm_owner_set_evacuations (n->owner, n->evacuations);
  mm_mesh_set_evacuations (n->mesh, n->evacuations);
  mm_fleet_set_evacuations (n->fleet, n->evacuations);
  mm_owner_set_overload_control (n->owner, s->overload_control);
  mm_fleet_set_overload_control (n->fleet, s->overload_control,
                                 s->overload_target_ms);
  n->jobs = mm_jobs_create (n->fleet);
  mm_jobs_set_budget (n->jobs, n->budget);
  mm_jobs_set_shedding (n->jobs, s->overload_control);
  n->config = mm_configuration_create (store, n->evacuations);
  n->list
      = mm_list_share_create (store, n->catalog, n->mesh, member, tick_now, n);
  n->upstreams = mm_list_share_stream (n->list);
  mm_exec_list_age list_age = { .list_current_ms = list_known_ms, .ctx = n };
  mm_owner_set_list_age (n->owner, &list_age);
  mm_datacentres_events ev = { .advance = advance_handover,
                               .lists_upstreams = lists_upstreams,
                               .changed = tick_now,
                               .ctx = n };
  n->owned_datacentres
      = mm_datacentres_create (store, n->mesh, s->datacentres, s->datacentre,
                               member, (uint32_t)s->partitions, &ev);
  mm_datacentres_set_transfer_runs (n->owned_datacentres, s->transfer_runs);
  mm_owner_set_transfer_runs (n->owner, s->transfer_runs);
  mm_mesh_set_transfer_runs (n->mesh, s->transfer_runs);
  mm_ownership_partitions partitions = { .state_of = partition_state_of,
                                         .renew_fence = renew_fence,
                                         .change_count = partition_changes,
                                         .owns_any = owns_partitions,
                                         .ctx = n };
  n->ownership = mm_ownership_create (n->catalog, n->owner, &partitions);
  n->predecessors = mm_predecessors_create (store, member);
  mm_predecessors_on_removed (n->predecessors, on_predecessor_removed, n);
  mm_mesh_on_released (n->mesh, on_group_changed, n);
  mm_kept_deps kept = { .store = *store,
                        .mesh = n->mesh,
                        .fleet = n->fleet,
                        .owner = n->owner,
                        .catalog = n->catalog,
                        .budget = n->budget,
                        .predecessors = n->predecessors,
                        .member = member,
                        .n_partitions = (uint32_t)s->partitions };
  n->kept = mm_kept_create (&kept);
  n->members = mm_members_create (store, n->mesh, s->datacentres,
                                  s->datacentre, member, n->predecessors);
  mm_members_on_changed (n->members, on_group_changed, n);
  mm_datacentres_set_members (n->owned_datacentres, n->members);
  mm_owner_finder_port finder = { .catalog = n->catalog,
                                  .owner_of = owner_of_upstream,
                                  .list_complete = list_complete,
                                  .ctx = n };
  n->finder = mm_owner_finder_create (n->mesh, member, &finder);
  mm_fleet_set_finder (n->fleet, n->finder);
}

/**
 * mm_node_create() - create an instance and start its timers.
 * @loop: event loop.
 * @s: settings; its strings must live as long as the node.
 * @exec: calls to upstreams; the port is copied.
 * @store: calls to the platform's store; the port is copied.
 * @error: MM_ERROR_IO when the mesh port cannot be bound.
 *
 * Return: the node, or NULL; free with mm_node_destroy().
 */
mm_node *
mm_node_create (struct ev_loop *loop, const mm_node_settings *s,
                const mm_exec_port *exec, const mm_store_port *store,
                GError **error)
{
  mm_node *n = g_new0 (mm_node, 1);
  n->loop = loop;
  n->settings = *s;
  n->budget = mm_budget_create (mm_daemon_memory_bytes (s->memory_mb));
  n->owner = mm_owner_create (exec);
  mm_owner_set_uplink_mbps (n->owner, s->link_mbps);
  char *member = new_member_name (s);
  n->mesh = mm_mesh_create (loop, member, s->datacentre, s->address,
                            (uint16_t)s->mesh_port, n->owner, error);
  if (!n->mesh)
    {
      mm_owner_destroy (n->owner);
      mm_budget_destroy (n->budget);
      g_free (member);
      g_free (n);
      return NULL;
    }
  create_modules (n, store, member);
  g_free (member);
  start_timers (n);
  return n;
}

void
mm_node_destroy (mm_node *n)
{
  if (!n)
    return;
  ev_timer_stop (n->loop, &n->tick);
  ev_check_stop (n->loop, &n->stall_check);
  ev_prepare_stop (n->loop, &n->before_wait);
  mm_jobs_destroy (n->jobs);
  mm_kept_destroy (n->kept);
  mm_fleet_destroy (n->fleet);
  mm_owner_finder_destroy (n->finder);
  mm_list_share_destroy (n->list);
  mm_members_destroy (n->members);
  mm_predecessors_destroy (n->predecessors);
  mm_mesh_destroy (n->mesh);
  mm_ownership_destroy (n->ownership);
  mm_owner_destroy (n->owner);
  mm_suspects_destroy (n->suspects);
  mm_datacentres_destroy (n->owned_datacentres);
  mm_configuration_destroy (n->config);
  mm_evacuations_destroy (n->evacuations);
  mm_catalog_destroy (n->catalog);
  mm_budget_destroy (n->budget);
  g_free (n);
}

bool
mm_node_ready (const mm_node *n)
{
  const mm_routes *routes = mm_node_routes (n);
  if (n->leaving_ms || !routes)
    return false;
  for (size_t i = 0; i < routes->n_routes; i++)
    {
      mm_load load = mm_fleet_load (n->fleet, routes->routes[i].service, 0, 1);
      if (load.places > 0 || load.evacuated)
        return true;
    }
  return false;
}

bool
mm_node_accepts_jobs (const mm_node *n)
{
  return !n->leaving_ms
         || mm_clock_now_ms () - n->leaving_ms
                < n->settings.grace_ms - MM_LEAVE_REFUSE_MS;
}

const mm_routes *
mm_node_routes (const mm_node *n)
{
  return mm_configuration_routes (n->config);
}

mm_jobs *
mm_node_jobs (mm_node *n)
{
  return n->jobs;
}

mm_budget *
mm_node_budget (mm_node *n)
{
  return n->budget;
}

mm_kept *
mm_node_kept (mm_node *n)
{
  return n->kept;
}

/**
 * mm_node_leave() - begin a graceful shutdown.
 * @n: the node.
 *
 * The upstreams are handed over to instances that are not shutting down, once
 * the tasks running there have ended or, with ownership.transfer_runs, once
 * the next owners can take the runs over.  While there is no such instance,
 * this one goes on starting tasks there: for MM_LEAVE_DRAIN_MS when it is
 * connected to no other instance, else until what is left of the grace time is
 * needed for the handover.  Callers are served until they have closed their
 * connections.
 */
void
mm_node_leave (mm_node *n)
{
  if (n->leaving_ms)
    return;
  n->leaving_ms = mm_clock_now_ms ();
  mm_mesh_set_leaving (n->mesh);
  mm_datacentres_leave (
      n->owned_datacentres, n->leaving_ms + MM_LEAVE_DRAIN_MS,
      n->leaving_ms + n->settings.grace_ms - MM_LEAVE_MARGIN_MS
          - MM_HANDOVER_MS - MM_LEAVE_CALL_MS);
  mm_kept_leave (n->kept);
}

bool
mm_node_can_exit (const mm_node *n, uint32_t open_connections)
{
  if (!n->leaving_ms)
    return false;
  mm_time_ms leaving_for_ms = mm_clock_now_ms () - n->leaving_ms;
  if (leaving_for_ms >= n->settings.grace_ms - MM_LEAVE_MARGIN_MS)
    return true;
  return leaving_for_ms >= MM_LEAVE_DRAIN_MS
         && mm_datacentres_has_left (n->owned_datacentres)
         && mm_kept_left (n->kept) && mm_jobs_count (n->jobs) == 0
         && (!n->settings.transfer_runs
             || mm_owner_count_unreported (n->owner) == 0)
         && open_connections == 0;
}

/* Returns the version of the configuration in force, 0: none.  */
static int64_t
config_version (const mm_node *n)
{
  const mm_routes *routes = mm_node_routes (n);
  return routes ? (int64_t)routes->version : 0;
}

/* Returns the number of runs at the upstreams owned here in evacuated data
   centres.  */
static int64_t
evacuated_runs (const mm_node *n, const mm_evacuations_view *v)
{
  int64_t runs = 0;
  for (size_t i = 0; i < v->n; i++)
    runs
        += mm_owner_measure_datacentre (n->owner, v->evacuations[i].datacentre)
               .runs;
  return runs;
}

/* Adds the evacuated data centres to a state dump, and for each what goes on
   at its upstreams owned here.  */
static void
dump_evacuations (const mm_node *n, cJSON *dump)
{
  mm_evacuations_view v = mm_evacuations_view_of (n->evacuations);
  cJSON_AddNumberToObject (
      dump, "evacuations_age_ms",
      mm_evacuations_known (n->evacuations) ? (double)v.age_ms : -1);
  cJSON *list = cJSON_AddArrayToObject (dump, "evacuations");
  for (size_t i = 0; i < v.n; i++)
    {
      const mm_evacuation *e = &v.evacuations[i];
      mm_owner_datacentre d
          = mm_owner_measure_datacentre (n->owner, e->datacentre);
      cJSON *row = cJSON_CreateObject ();
      cJSON_AddStringToObject (row, "datacentre", e->datacentre);
      cJSON_AddNumberToObject (row, "for_ms", (double)e->for_ms);
      cJSON_AddNumberToObject (row, "upstreams", d.upstreams);
      cJSON_AddNumberToObject (row, "runs", d.runs);
      cJSON_AddItemToArray (list, row);
    }
  mm_evacuations_view_clear (&v);
}

/* Adds what overload control knows to a state dump; null: it is off.  */
static void
dump_overload (const mm_node *n, cJSON *dump)
{
  const mm_overload_state *state = mm_fleet_overload (n->fleet);
  char *text
      = state ? mm_overload_state_dump (state, mm_clock_now_ms ()) : NULL;
  cJSON_AddItemToObject (dump, "overload",
                         text ? cJSON_Parse (text) : cJSON_CreateNull ());
  free (text);
}

/**
 * mm_node_metrics() - write counters, gauges and histograms as text.
 * @n: the node.
 *
 * Return: the metrics in the Prometheus text format; free with g_free().
 */
char *
mm_node_metrics (const mm_node *n)
{
  mm_owner_gauges g = mm_owner_measure (n->owner);
  mm_metrics_set (MM_GG_JOBS_OPEN, mm_jobs_count (n->jobs));
  mm_metrics_set (MM_GG_KEPT_OPEN, mm_kept_open_jobs (n->kept));
  mm_metrics_set (MM_GG_UPSTREAMS_OWNED, g.upstreams);
  mm_metrics_set (MM_GG_PLACES, g.capacity.places);
  mm_metrics_set (MM_GG_PLACES_FREE, g.capacity.free);
  mm_metrics_set (MM_GG_TASKS_WAITING, g.capacity.waiting);
  mm_metrics_set (MM_GG_RUNS, g.runs);
  mm_metrics_set (MM_GG_RUNS_UNSURE, g.in_doubt);
  mm_metrics_set (MM_GG_CONFIG_VERSION, config_version (n));
  mm_metrics_set (MM_GG_GENERATION,
                  (int64_t)mm_datacentres_generation (n->owned_datacentres));
  mm_metrics_set (MM_GG_LIST_AGE, list_age_ms (n, mm_clock_now_ms ()));
  mm_metrics_set (MM_GG_UPSTREAMS_LOST,
                  (int64_t)mm_suspects_count (n->suspects));
  mm_evacuations_view v = mm_evacuations_view_of (n->evacuations);
  mm_metrics_set (MM_GG_EVACUATED, (int64_t)v.n);
  mm_metrics_set (MM_GG_EVACUATED_RUNS, evacuated_runs (n, &v));
  mm_evacuations_view_clear (&v);
  const mm_overload_state *overload = mm_fleet_overload (n->fleet);
  for (uint32_t i = 0; i < MM_PRIORITY_LEVELS; i++)
    mm_metrics_set (MM_GG_OVERLOADED + i,
                    overload ? mm_overload_state_count (overload, i) : 0);
  for (uint32_t i = 0; i < MM_BUDGET_PARTS; i++)
    mm_metrics_set (MM_GG_CALLER_CONNECTION_BYTES + i,
                    (int64_t)mm_budget_used (n->budget, i));
  mm_metrics_set (MM_GG_LOG_DROPPED, (int64_t)mm_log_sink_dropped ());
  return mm_metrics_text ();
}

/* Adds the state of load shedding.  */
static void
dump_shedding (const mm_node *n, cJSON *d)
{
  mm_jobs_shedding_state s = mm_jobs_measure_shedding (n->jobs);
  cJSON *o = cJSON_AddObjectToObject (d, "shedding");
  cJSON_AddBoolToObject (o, "on", s.on);
  cJSON_AddNumberToObject (o, "yielding_jobs", s.yielding);
  cJSON_AddNumberToObject (o, "deferred_jobs", s.deferred);
  cJSON_AddNumberToObject (
      o, "rejected", (double)mm_metrics_counter (MM_CT_JOBS_SHED_REJECT));
}

char *
mm_node_dump (const mm_node *n)
{
  cJSON *d = cJSON_CreateObject ();
  cJSON_AddStringToObject (d, "name", n->settings.name);
  cJSON_AddStringToObject (d, "datacentre", n->settings.datacentre);
  cJSON_AddBoolToObject (d, "ready", mm_node_ready (n));
  cJSON_AddBoolToObject (d, "leaving", n->leaving_ms != 0);
  cJSON_AddNumberToObject (d, "config_version", (double)config_version (n));
  cJSON_AddNumberToObject (
      d, "generation",
      (double)mm_datacentres_generation (n->owned_datacentres));
  cJSON_AddNumberToObject (d, "list_age_ms",
                           (double)list_age_ms (n, mm_clock_now_ms ()));
  dump_evacuations (n, d);
  dump_overload (n, d);
  cJSON_AddNumberToObject (d, "peers", mm_mesh_connected (n->mesh));
  cJSON_AddNumberToObject (d, "jobs", mm_jobs_count (n->jobs));
  cJSON_AddNumberToObject (d, "tasks_reserving",
                           mm_fleet_count_reserving (n->fleet));
  dump_shedding (n, d);
  char *owner = mm_owner_dump (n->owner);
  cJSON_AddItemToObject (d, "owner", cJSON_Parse (owner));
  free (owner);
  char *text = cJSON_PrintUnformatted (d);
  cJSON_Delete (d);
  return text;
}
