/* mm_contact: what an instance may conclude from failing platform calls.

   Failing calls alone do not distinguish an outage of the platform from a
   failure of this instance's own connection.  In an outage no instance can
   take over the shards of this one, so it may start jobs without records in
   the log.  When only this instance is disconnected, a peer may own its shards
   by now.  Peers are pinged to find out: one peer in contact means
   MM_STANDING_DISCONNECTED, answers only from peers that lost contact mean
   MM_STANDING_OUTAGE, and no answer at all means MM_STANDING_ALONE.  */
#include "mm_contact.h"

#include "config.h"

struct mm_contact
{
  mm_time_ms last_ok_ms;  /* end of the last call that succeeded */
  bool last_failed;       /* the last call to the platform failed */
  mm_time_ms regained_ms; /* when contact was regained, 0: never lost */
  int64_t outage_wall_ms; /* last call that failed without contact, 0: none */
  GHashTable *votes;      /* peer name -> vote, the peer's last one */
};

/* A peer's answer to a ping.  */
typedef struct
{
  bool in_contact;        /* whether the peer reaches the platform */
  mm_time_ms received_ms; /* when its answer arrived */
} vote;

/* Indexed by mm_standing.  */
static const char *const standing_names[]
    = { "contact", "outage", "cut", "alone" };

const char *
mm_standing_name (mm_standing s)
{
  return standing_names[s];
}

/**
 * mm_contact_create() - create a contact state that starts in contact.
 * @now: mm_clock_now_ms().
 *
 * Return: the contact state, to free with mm_contact_destroy().
 */
mm_contact *
mm_contact_create (mm_time_ms now)
{
  mm_contact *c = g_new0 (mm_contact, 1);
  c->last_ok_ms = now;
  c->votes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return c;
}

void
mm_contact_destroy (mm_contact *c)
{
  if (!c)
    return;
  g_hash_table_destroy (c->votes);
  g_free (c);
}

/**
 * mm_contact_record() - record the end of a call to the platform.
 * @c: the contact state.
 * @ok: whether the platform answered.
 * @now: mm_clock_now_ms().
 */
void
mm_contact_record (mm_contact *c, bool ok, mm_time_ms now)
{
  if (ok && mm_contact_lost (c, now))
    c->regained_ms = now;
  c->last_failed = !ok;
  if (ok)
    c->last_ok_ms = now;
  else if (mm_contact_lost (c, now))
    c->outage_wall_ms = mm_clock_wall_ms ();
}

/**
 * mm_contact_lost() - whether calls to the platform have failed for a while.
 * @c: the contact state.
 * @now: mm_clock_now_ms().
 *
 * Return: true when the last call failed and the last success was more than
 * MM_CONTACT_LOST_MS ago.
 */
bool
mm_contact_lost (const mm_contact *c, mm_time_ms now)
{
  return c->last_failed && now - c->last_ok_ms > MM_CONTACT_LOST_MS;
}

/**
 * mm_contact_list_incomplete() - whether the member list may lack live
 * members.
 * @c: the contact state.
 * @now: mm_clock_now_ms().
 *
 * No member can send heartbeats during an outage of the platform, so live
 * members expire.  They are listed again soon after the outage.
 *
 * Return: true while contact is lost and for MM_LIST_GRACE_MS after it is
 * regained.
 */
bool
mm_contact_list_incomplete (const mm_contact *c, mm_time_ms now)
{
  return mm_contact_lost (c, now)
         || (c->regained_ms && now - c->regained_ms < MM_LIST_GRACE_MS);
}

/**
 * mm_contact_ping_status() - status that answers a peer's ping.
 * @c: the contact state.
 * @now: mm_clock_now_ms().
 *
 * Return: 200 in contact, 503 when contact is lost, and 204 when calls fail
 * but not for long enough to tell.  A peer does not count 204 as a vote.
 */
unsigned
mm_contact_ping_status (const mm_contact *c, mm_time_ms now)
{
  if (!c->last_failed)
    return 200;
  return mm_contact_lost (c, now) ? 503 : 204;
}

/**
 * mm_contact_record_vote() - record a peer's answer to a ping.
 * @c: the contact state.
 * @peer: name of the peer.
 * @in_contact: whether the peer reaches the platform.
 * @now: mm_clock_now_ms().
 */
void
mm_contact_record_vote (mm_contact *c, const char *peer, bool in_contact,
                        mm_time_ms now)
{
  vote *v = g_new0 (vote, 1);
  v->in_contact = in_contact;
  v->received_ms = now;
  g_hash_table_insert (c->votes, g_strdup (peer), v);
}

/**
 * mm_contact_standing() - whether the platform has an outage or only this
 * instance cannot reach it.
 * @c: the contact state.
 * @n_peers: number of live peers in the member list.
 * @now: mm_clock_now_ms().
 * @peer: with MM_STANDING_DISCONNECTED, set to a peer in contact; may be NULL.
 *
 * Votes older than MM_VOTE_VALID_MS do not count.  Without peers, no other
 * instance can take over a shard, so that lost contact counts as an outage.
 *
 * Return: what this instance concludes, see mm_standing.
 */
mm_standing
mm_contact_standing (const mm_contact *c, uint32_t n_peers, mm_time_ms now,
                     const char **peer)
{
  if (!mm_contact_lost (c, now))
    return MM_STANDING_CONTACT;
  if (n_peers == 0)
    return MM_STANDING_OUTAGE;
  uint32_t answers = 0;
  GHashTableIter it;
  gpointer name, v;
  g_hash_table_iter_init (&it, c->votes);
  while (g_hash_table_iter_next (&it, &name, &v))
    {
      const vote *w = v;
      if (now - w->received_ms > MM_VOTE_VALID_MS)
        continue;
      answers++;
      if (w->in_contact)
        {
          if (peer)
            *peer = name;
          return MM_STANDING_DISCONNECTED;
        }
    }
  if (answers)
    return MM_STANDING_OUTAGE;
  /* At the start of an outage the peers do not know yet whether they lost
     contact.  MM_CONTACT_ALONE_MS gives them time to answer before this
     instance gives up its jobs.  */
  return now - c->last_ok_ms > MM_CONTACT_ALONE_MS ? MM_STANDING_ALONE
                                                   : MM_STANDING_CONTACT;
}

int64_t
mm_contact_last_outage_wall_ms (const mm_contact *c)
{
  return c->outage_wall_ms;
}
