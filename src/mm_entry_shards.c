/* mm_entry_shards: decides which jobs belong to this instance.

   A job's shard is a hash of its id.  Rendezvous hashing over the live entry
   instances of the data centre chooses an instance for each shard, which
   takes the shard before jobs arrive.  The shard's log stream decides which
   instance really owns it (mm_shard.c), so member lists that lag or differ
   cost an extra hop, but never start a task twice.  */
#include "config.h"
#include "mm_entry_priv.h"

#include <string.h>
#include <xxhash.h>

/**
 * mm_entry_shard_of() - find the shard of a job.
 * @e: the entry instance.
 * @job_id: the job.
 *
 * Return: the shard, whether or not this instance owns it.
 */
mm_shard *
mm_entry_shard_of (mm_entry *e, const char *job_id)
{
  return e->shards[XXH3_64bits (job_id, strlen (job_id))
                   % (uint64_t)e->settings.shards];
}

static uint32_t
shard_index (const mm_entry *e, const mm_shard *shard)
{
  uint32_t i = 0;
  while (e->shards[i] != shard)
    i++;
  return i;
}

/* Returns whether a peer did not answer a request in the last
   MM_PEER_SUSPECT_MS.  */
static bool
is_suspect (const mm_entry *e, const char *peer)
{
  const mm_time_ms *at = g_hash_table_lookup (e->suspect_peers, peer);
  return at && mm_clock_now_ms () - *at < MM_PEER_SUSPECT_MS;
}

/**
 * mm_entry_suspect_peer() - record that a peer did not answer.
 * @e: the entry instance.
 * @peer: name of the peer.
 *
 * For MM_PEER_SUSPECT_MS the rendezvous hashing leaves the peer out, so its
 * shards go to other instances.  Their jobs need not wait until the lagging
 * member list drops a dead peer.
 */
void
mm_entry_suspect_peer (mm_entry *e, const char *peer)
{
  mm_time_ms *at = g_new0 (mm_time_ms, 1);
  *at = mm_clock_now_ms ();
  g_hash_table_insert (e->suspect_peers, g_strdup (peer), at);
}

/* Returns whether jobs can be forwarded to a peer: it is live and not suspect.
   @peer may be NULL.  */
static bool
is_routable (const mm_entry *e, const char *peer)
{
  return peer && g_hash_table_contains (e->peer_addrs, peer)
         && !is_suspect (e, peer);
}

/* Returns the peer that the rendezvous hashing chooses for a shard, or NULL
   when it chooses this instance or none is left.  Suspect peers are left out,
   and so is this instance while it is leaving.  */
static const char *
rendezvous_owner (const mm_entry *e, uint32_t shard)
{
  if (!e->live_entries)
    return NULL;
  char key[32];
  g_snprintf (key, sizeof key, "shard-%u", shard);
  char **names = g_new0 (char *, g_strv_length (e->live_entries) + 1);
  size_t n = 0;
  for (char **m = e->live_entries; *m; m++)
    if (strcmp (*m, e->settings.name) == 0 ? !e->shutting_down
                                           : !is_suspect (e, *m))
      names[n++] = *m;
  int i = mm_hash_owner (key, names, n);
  const char *owner = i < 0 ? NULL : names[i];
  g_free (names);
  return owner && strcmp (owner, e->settings.name) != 0 ? owner : NULL;
}

/* Returns what this instance may do, by its contact with the platform and its
   peers.  @peer: see mm_contact_standing().  */
static mm_standing
current_standing (const mm_entry *e, const char **peer)
{
  return mm_contact_standing (e->contact, g_hash_table_size (e->peer_addrs),
                              mm_clock_now_ms (), peer);
}

/**
 * mm_entry_route() - choose the instance that gets a job.
 * @e: the entry instance.
 * @job_id: the job.
 * @hops: how often the job was forwarded already; after MM_FORWARD_MAX_HOPS
 *        it stays here, so that member lists that differ cannot make it
 *        bounce between instances.
 *
 * Return: the name of a peer, or NULL for this instance.
 */
const char *
mm_entry_route (mm_entry *e, const char *job_id, uint32_t hops)
{
  mm_shard *s = mm_entry_shard_of (e, job_id);
  const char *contact_peer = NULL;
  if (hops >= MM_FORWARD_MAX_HOPS || !*e->settings.platform_url)
    return NULL;
  /* A peer that reaches the log may have replaced this instance.  */
  if (current_standing (e, &contact_peer) == MM_STANDING_DISCONNECTED
      && is_routable (e, contact_peer))
    return contact_peer;
  if (mm_shard_owned (s) && !e->shutting_down)
    return NULL;
  /* An instance that was fenced, or that cannot reach the log to take the
     shard, forwards the job to the shard's owner.  */
  if ((mm_shard_recently_fenced (s, mm_clock_now_ms ())
       || mm_contact_lost (e->contact, mm_clock_now_ms ()))
      && is_routable (e, mm_shard_owner (s)))
    return mm_shard_owner (s);
  return rendezvous_owner (e, shard_index (e, s));
}

/**
 * mm_entry_check_shard_owner() - check that the owner of a job's shard is
 * live.
 * @e: the entry instance.
 * @job_id: the job.
 *
 * An instance that has lost a shard does not take it back for
 * MM_SHARD_HOLD_DOWN_MS.  This hold-down ends here when the new owner is gone,
 * so that a job that stays on this instance need not wait for it.
 */
void
mm_entry_check_shard_owner (mm_entry *e, const char *job_id)
{
  mm_shard *s = mm_entry_shard_of (e, job_id);
  const char *shard_owner = mm_shard_owner (s);
  if (shard_owner && strcmp (shard_owner, e->settings.name) != 0
      && !is_routable (e, shard_owner))
    mm_shard_end_hold_down (s);
}

/**
 * mm_entry_peers_changed() - apply changes of the set of peers.
 * @e: the entry instance, with peer_addrs from the new member list.
 * @old_addrs: peer_addrs from the previous member list.
 *
 * A stalled peer leaves the member list, but its sockets stay open.  Links to
 * peers that have left are closed here, so that requests to them fail now
 * instead of waiting until their deadline.
 */
void
mm_entry_peers_changed (mm_entry *e, GHashTable *old_addrs)
{
  GHashTableIter it;
  gpointer name, addr;
  bool changed
      = g_hash_table_size (old_addrs) != g_hash_table_size (e->peer_addrs);
  g_hash_table_iter_init (&it, old_addrs);
  while (g_hash_table_iter_next (&it, &name, &addr))
    if (!g_hash_table_contains (e->peer_addrs, name))
      {
        changed = true;
        mm_counters_add (e->counters, "peers_gone", 1);
        mm_peer_drop (e->peer_links, addr);
      }
  if (changed)
    {
      e->peers_changed_ms = mm_clock_now_ms ();
      e->shards_verified = false;
    }
}

/* Returns whether the owned shards have to be verified, once for each change
   of the set of peers and after other instances had time to take theirs.  */
static bool
verify_due (const mm_entry *e)
{
  return !e->shards_verified
         && mm_clock_now_ms () - e->peers_changed_ms > 2 * MM_PEERS_SETTLE_MS;
}

/* Ignores the answer of mm_shard_verify(), which the shard itself applies.  */
static void
ignore_verified (bool owned, void *ctx)
{
}

/* Takes a shard that the rendezvous hashing over the member list gives to this
   instance.  A shard without an owner is taken at once.  A shard of another
   owner is taken only when the list has not changed for MM_PEERS_SETTLE_MS:
   instances that start and still see only themselves would take all shards
   from each other in turn.  The previous owner keeps the shard until then, so
   that every shard is served when an outage starts.  2 * MM_PEERS_SETTLE_MS
   after the change the log is read for each owned shard, because another
   instance may have taken an idle one without this instance noticing.  */
static void
align_with_members (mm_entry *e, uint32_t i)
{
  mm_shard *s = e->shards[i];
  mm_time_ms now = mm_clock_now_ms ();
  bool settled = now - e->peers_changed_ms > MM_PEERS_SETTLE_MS;
  if (mm_shard_owned (s))
    {
      if (verify_due (e))
        mm_shard_verify (s, ignore_verified, NULL);
    }
  else if (!rendezvous_owner (e, i) && !mm_shard_recently_fenced (s, now))
    mm_shard_take (s, !settled);
}

/**
 * mm_entry_record_contact() - record the end of a call to the platform.
 * @e: the entry instance.
 * @ok: whether the platform answered.
 */
void
mm_entry_record_contact (mm_entry *e, bool ok)
{
  mm_contact_record (e->contact, ok, mm_clock_now_ms ());
}

/* Returns whether the log may lack accepted jobs: this instance or a live peer
   saw an outage of the platform within done_ttl_ms, so a caller may still
   resubmit a job of that time.  */
static bool
outage_within_ttl (const mm_entry *e)
{
  int64_t last = MAX (mm_contact_last_outage_wall_ms (e->contact),
                      e->peer_outage_wall_ms);
  return last && mm_clock_wall_ms () - last < e->settings.done_ttl_ms;
}

/**
 * mm_entry_earlier_accept() - whether an earlier owner may have run a job.
 * @e: the entry instance, which neither runs the job nor has its answer.
 * @job_id: the job.
 *
 * The records known here may be incomplete while this instance does not own
 * the shard, and when it took the shard from an owner that did not release it
 * and may have run jobs without records in an outage of the platform.
 *
 * Return: whether an earlier owner accepted it, see mm_earlier_accept.
 */
mm_earlier_accept
mm_entry_earlier_accept (mm_entry *e, const char *job_id)
{
  mm_shard *s = mm_entry_shard_of (e, job_id);
  if (mm_shard_accepted_before (s, job_id))
    return MM_EARLIER_ACCEPT_KNOWN;
  if (!*e->settings.platform_url)
    return MM_EARLIER_ACCEPT_NONE;
  if (!mm_shard_owned (s)
      || (mm_shard_unclean_takeover (s)
          && (mm_shard_unobserved (s) || outage_within_ttl (e))))
    return MM_EARLIER_ACCEPT_POSSIBLE;
  return MM_EARLIER_ACCEPT_NONE;
}

typedef struct
{
  mm_entry *entry;
  char *peer;
} ping_ctx;

/* Records whether a peer reaches the platform.  An answer of 204 means that
   the peer cannot tell yet, and is no vote.  */
static void
ping_done (const mm_peer_answer *a, void *ctx)
{
  ping_ctx *p = ctx;
  if (!a->error && (a->status == 200 || a->status == 503))
    mm_contact_record_vote (p->entry->contact, p->peer, a->status == 200,
                            mm_clock_now_ms ());
  g_free (p->peer);
  g_free (p);
}

/* Asks all peers whether they reach the platform, often enough that their
   votes stay valid.  */
static void
ping_peers (mm_entry *e)
{
  mm_time_ms now = mm_clock_now_ms ();
  if (now - e->last_ping_ms < MM_VOTE_VALID_MS / 3)
    return;
  e->last_ping_ms = now;
  GList *names = g_hash_table_get_keys (e->peer_addrs);
  for (GList *l = names; l; l = l->next)
    {
      ping_ctx *p = g_new0 (ping_ctx, 1);
      p->entry = e;
      p->peer = g_strdup (l->data);
      mm_counters_add (e->counters, "pings", 1);
      mm_peer_ping (e->peer_links,
                    g_hash_table_lookup (e->peer_addrs, l->data),
                    MM_PEER_PING_TIMEOUT_MS, ping_done, p);
    }
  g_list_free (names);
}

/* Returns the status that answers a peer's ping.  */
static unsigned
ping_status (void *ctx)
{
  mm_entry *e = ctx;
  return mm_contact_ping_status (e->contact, mm_clock_now_ms ());
}

/* Updates one shard on a tick, according to the contact with the platform.
   @peer: with MM_STANDING_DISCONNECTED, a peer that reaches the platform.  */
static void
update_shard (mm_entry *e, uint32_t i, mm_standing standing, const char *peer)
{
  mm_shard *s = e->shards[i];
  switch (standing)
    {
    case MM_STANDING_CONTACT:
      if (!e->shutting_down && e->live_entries)
        align_with_members (e, i);
      mm_shard_retry (s);
      break;
    case MM_STANDING_OUTAGE:
      /* No instance reaches the log, so none can take the shard.  */
      if (mm_shard_owned (s))
        mm_shard_serve_unrecorded (s);
      else if (mm_shard_has_waiting (s))
        mm_shard_redirect_waiting (s, NULL);
      break;
    case MM_STANDING_DISCONNECTED:
      mm_shard_redirect_waiting (s, peer);
      break;
    case MM_STANDING_ALONE:
      mm_shard_redirect_waiting (s, NULL);
      break;
    }
}

static void
shard_tick_cb (struct ev_loop *loop, ev_timer *w, int revents)
{
  mm_entry *e = w->data;
  const char *peer = NULL;
  if (mm_contact_lost (e->contact, mm_clock_now_ms ()))
    ping_peers (e);
  mm_standing standing = current_standing (e, &peer);
  for (uint32_t i = 0; i < (uint32_t)e->settings.shards; i++)
    update_shard (e, i, standing, peer);
  if (verify_due (e) && standing == MM_STANDING_CONTACT)
    e->shards_verified = true;
  if (e->shutting_down)
    ev_idle_start (loop, &e->shutdown_check);
}

static uint64_t
listed_fingerprint (void *ctx)
{
  return mm_pool_list_fingerprint (((mm_entry *)ctx)->pool);
}

static void
record_contact (bool ok, void *ctx)
{
  mm_entry_record_contact (ctx, ok);
}

/* Returns whether a live instance, this one or a peer, was up at the time of a
   shard's earlier owner and would know of an outage then.  When all instances
   serve jobs without records in an outage and die in it, no instance that
   starts later knows of these jobs.  The shards of an owner that vanished are
   taken within seconds, so an instance that has been up for
   MM_OBSERVER_UPTIME_MS was up at the time of that owner.  */
static bool
has_observer (void *ctx)
{
  const mm_entry *e = ctx;
  int64_t oldest = e->started_wall_ms;
  if (e->peers_started_wall_ms)
    oldest = MIN (oldest, e->peers_started_wall_ms);
  return mm_clock_wall_ms () - oldest > MM_OBSERVER_UPTIME_MS;
}

static bool
in_outage (void *ctx)
{
  return current_standing (ctx, NULL) == MM_STANDING_OUTAGE;
}

/**
 * mm_entry_shards_start() - create the shards and start their timer.
 * @e: the entry instance, with its platform client and peer links.
 */
void
mm_entry_shards_start (mm_entry *e)
{
  e->contact = mm_contact_create (mm_clock_now_ms ());
  e->peers_changed_ms = mm_clock_now_ms ();
  e->started_wall_ms = mm_clock_wall_ms ();
  e->suspect_peers
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  e->shard_env = (mm_shard_env){
    .loop = e->loop,
    .http = e->platform_client,
    .counters = e->counters,
    .platform_url = e->settings.platform_url,
    .datacentre = e->settings.datacentre,
    .self = e->settings.name,
    .incarnation
    = g_strdup_printf ("%s#%" G_GINT64_FORMAT ".%08x", e->settings.name,
                       mm_clock_wall_ms (), g_random_int ()),
    .ttl_ms = e->settings.done_ttl_ms,
    .accept_interval_ms = e->settings.accept_interval_ms,
    .fingerprint = listed_fingerprint,
    .contact = record_contact,
    .outage = in_outage,
    .observed_before = has_observer,
    .ctx = e,
  };
  e->shards = g_new0 (mm_shard *, e->settings.shards);
  for (uint32_t i = 0; i < (uint32_t)e->settings.shards; i++)
    e->shards[i] = mm_shard_create (&e->shard_env, i);
  mm_peer_set_ping_status_cb (e->peer_links, ping_status, e);
  ev_timer_init (&e->shard_tick, shard_tick_cb, MM_SHARD_TICK_MS / 1000.0,
                 MM_SHARD_TICK_MS / 1000.0);
  e->shard_tick.data = e;
  if (*e->settings.platform_url)
    ev_timer_start (e->loop, &e->shard_tick);
}

/**
 * mm_entry_shards_stop() - free the shards without releasing them.
 * @e: the entry instance.
 */
void
mm_entry_shards_stop (mm_entry *e)
{
  if (!e->shards)
    return;
  ev_timer_stop (e->loop, &e->shard_tick);
  for (uint32_t i = 0; i < (uint32_t)e->settings.shards; i++)
    mm_shard_destroy (e->shards[i]);
  g_free (e->shards);
  g_free (e->shard_env.incarnation);
  g_hash_table_destroy (e->suspect_peers);
  mm_contact_destroy (e->contact);
}

static void
shutdown_limit_cb (struct ev_loop *loop, ev_timer *w, int revents)
{
  mm_entry *e = w->data;
  e->shutdown_limit_passed = true;
  ev_idle_start (loop, &e->shutdown_check);
}

/**
 * mm_entry_shards_release() - release the shards before a shutdown.
 * @e: the entry instance; its jobs have ended.
 *
 * A release in the log tells the next owner that this instance left no
 * unrecorded jobs behind.  The release is optional: when the log cannot be
 * reached, the process stops without it after MM_RELEASE_LIMIT_MS.
 *
 * Return: true when no shard is owned any more, or the limit has passed.
 */
bool
mm_entry_shards_release (mm_entry *e)
{
  uint32_t n_owned = 0;
  for (uint32_t i = 0; i < (uint32_t)e->settings.shards; i++)
    if (mm_shard_owned (e->shards[i]))
      {
        n_owned++;
        mm_shard_release (e->shards[i]);
      }
  if (!n_owned || e->shutdown_limit_passed)
    return true;
  if (!ev_is_active (&e->shutdown_limit_timer))
    {
      ev_timer_init (&e->shutdown_limit_timer, shutdown_limit_cb,
                     MM_RELEASE_LIMIT_MS / 1000.0, 0.);
      e->shutdown_limit_timer.data = e;
      ev_timer_start (e->loop, &e->shutdown_limit_timer);
    }
  return false;
}

/**
 * mm_entry_shards_dump() - add the state of the shards to the state dump.
 * @e: the entry instance.
 * @out: the JSON object of the dump.
 */
void
mm_entry_shards_dump (const mm_entry *e, cJSON *out)
{
  cJSON *o = cJSON_AddObjectToObject (out, "shards");
  cJSON *owned_shards = cJSON_AddArrayToObject (o, "held");
  uint32_t known = 0;
  for (uint32_t i = 0; i < (uint32_t)e->settings.shards; i++)
    {
      if (mm_shard_owned (e->shards[i]))
        cJSON_AddItemToArray (owned_shards, cJSON_CreateNumber (i));
      known += mm_shard_accepted_count (e->shards[i]);
    }
  cJSON_AddNumberToObject (o, "jobs_known_from_earlier_owners", known);
  cJSON_AddStringToObject (out, "standing",
                           mm_standing_name (current_standing (e, NULL)));
}
