/* mm_contact: what an instance may conclude from failing platform calls.

   Failing calls alone do not tell an outage of the platform from being
   cut off from it.  The difference matters: in an outage nobody can take
   over our shards, so we may go on without records; when only we are cut
   off, a peer may own them by now.  So peers are asked: any that is in
   contact says "cut"; only out-of-contact answers say "outage"; no
   answer at all says "alone".  */
#include "mm_contact.h"

#include "config.h"

struct mm_contact
{
  mm_time_ms last_ok_ms;
  bool last_failed;
  mm_time_ms regained_ms; /* when contact came back, 0 never lost */
  int64_t outage_wall_ms; /* when contact was last known lost */
  GHashTable *votes;      /* peer name -> vote */
};

typedef struct
{
  bool in_contact;
  mm_time_ms at_ms;
} vote;

static const char *const standing_names[]
    = { "contact", "outage", "cut", "alone" };

const char *
mm_standing_name (mm_standing s)
{
  return standing_names[s];
}

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
 * mm_contact_note() - a call to the platform ended.
 * @c: the contact.
 * @ok: it answered.
 * @now: mm_clock_now_ms().
 */
void
mm_contact_note (mm_contact *c, bool ok, mm_time_ms now)
{
  if (ok && mm_contact_lost (c, now))
    c->regained_ms = now;
  c->last_failed = !ok;
  if (ok)
    c->last_ok_ms = now;
  else if (mm_contact_lost (c, now))
    c->outage_wall_ms = mm_clock_wall_ms ();
}

bool
mm_contact_lost (const mm_contact *c, mm_time_ms now)
{
  return c->last_failed && now - c->last_ok_ms > MM_CONTACT_LOST_MS;
}

/**
 * mm_contact_list_unsure() - may the member list lack the living?
 * @c: the contact.
 * @now: mm_clock_now_ms().
 *
 * While the platform was out nobody could heartbeat, so members expired
 * that are alive; they are back soon after its return.
 */
bool
mm_contact_list_unsure (const mm_contact *c, mm_time_ms now)
{
  return mm_contact_lost (c, now)
         || (c->regained_ms && now - c->regained_ms < MM_LIST_GRACE_MS);
}

/**
 * mm_contact_ping_status() - our answer to a peer's ping.
 * @c: the contact.
 * @now: mm_clock_now_ms().
 *
 * Return: 200 in contact, 503 contact lost, 204 not sure yet (no vote).
 */
unsigned
mm_contact_ping_status (const mm_contact *c, mm_time_ms now)
{
  if (!c->last_failed)
    return 200;
  return mm_contact_lost (c, now) ? 503 : 204;
}

void
mm_contact_vote (mm_contact *c, const char *peer, bool in_contact,
                 mm_time_ms now)
{
  vote *v = g_new0 (vote, 1);
  v->in_contact = in_contact;
  v->at_ms = now;
  g_hash_table_insert (c->votes, g_strdup (peer), v);
}

/**
 * mm_contact_standing() - what we may do.
 * @c: the contact.
 * @n_peers: live peers we know of.
 * @now: mm_clock_now_ms().
 * @peer: with MM_STANDING_CUT, set to a peer in contact.
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
      if (now - w->at_ms > MM_VOTE_VALID_MS)
        continue;
      answers++;
      if (w->in_contact)
        {
          if (peer)
            *peer = name;
          return MM_STANDING_CUT;
        }
    }
  if (answers)
    return MM_STANDING_OUTAGE;
  /* At the start of an outage the peers are not sure yet: wait a little
     for their word before giving jobs up.  */
  return now - c->last_ok_ms > MM_CONTACT_ALONE_MS ? MM_STANDING_ALONE
                                                   : MM_STANDING_CONTACT;
}

int64_t
mm_contact_outage_wall_ms (const mm_contact *c)
{
  return c->outage_wall_ms;
}
