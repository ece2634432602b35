/* mm_kept: requests about kept jobs go to their homes; some are here.  */
#include "mm_kept.h"

#include "config.h"
#include "mm_event.h"
#include "mm_home.h"
#include "mm_homes.h"
#include "mm_search.h"
#include "mm_shares.h"

#include <string.h>

struct mm_kept
{
  int refs; /* the maker's, and one a request that is passed on */
  bool closed;
  mm_kept_parts p;
  mm_shares *shares;
  mm_homes *homes; /* whose the others are */
  mm_home **home;  /* of each partition, NULL: not here */
  bool *outranked; /* fenced by another home */
  mm_search *search;
  mm_time_ms searched_ms; /* when a search last began */
  bool leaving;
  mm_time_ms leaving_ms;
};

/* ---- being a home ----------------------------------------------------- */

/* Ends are stored: tell their owners, each what is its own.  */
static void
on_stored (void *ctx, const GArray *notes)
{
  mm_kept *k = ctx;
  const mm_end_note *n = (const mm_end_note *)(const void *)notes->data;
  for (guint i = 0; i < notes->len; i++)
    {
      if (!*n[i].owner)
        {
          mm_owner_note_end (k->p.owner, &n[i].task, n[i].mark);
          continue;
        }
      msgpack_sbuffer b;
      msgpack_sbuffer_init (&b);
      mm_notes_pack (&b, &n[i], 1);
      mm_mesh_ask (k->p.mesh, n[i].owner, MM_TELL_NOTES, b.data, b.size, 0,
                   NULL, NULL);
      msgpack_sbuffer_destroy (&b);
    }
}

static void
on_home_fenced (void *ctx, mm_home *h)
{
  mm_kept *k = ctx;
  for (uint32_t i = 0; i < k->p.parts; i++)
    if (k->home[i] == h)
      k->outranked[i] = true;
}

static void
open_home (mm_kept *k, uint32_t part, uint64_t epoch)
{
  mm_home_events ev
      = { .stored = on_stored, .fenced = on_home_fenced, .ctx = k };
  k->outranked[part] = false;
  k->home[part] = mm_home_create (&k->p.store, k->p.fleet, part, epoch, &ev);
}

static void
close_home (mm_kept *k, uint32_t part)
{
  mm_home_destroy (g_steal_pointer (&k->home[part]));
}

/* Be the home of exactly what the group says is ours.  */
static void
follow_group (mm_kept *k)
{
  for (uint32_t i = 0; i < k->p.parts; i++)
    {
      if (k->home[i] && k->outranked[i])
        {
          close_home (k, i);
          mm_shares_retake_part (k->shares, i);
        }
      uint64_t epoch = 0;
      mm_share_state state = mm_shares_of_part (k->shares, i, &epoch);
      bool changed = k->home[i] && mm_home_epoch (k->home[i]) != epoch;
      if (k->home[i] && (state == MM_SHARE_OTHERS || changed))
        close_home (k, i);
      if (!k->home[i] && state == MM_SHARE_OURS && !k->leaving)
        open_home (k, i, epoch);
    }
}

static bool
leaving_parts_quiet (const mm_kept *k)
{
  for (uint32_t i = 0; i < k->p.parts; i++)
    {
      uint64_t epoch;
      if (k->home[i]
          && (k->leaving
              || mm_shares_of_part (k->shares, i, &epoch) == MM_SHARE_LEAVING)
          && !mm_home_quiet (k->home[i]))
        return false;
    }
  return true;
}

static void
hand_over (mm_kept *k, mm_time_ms now)
{
  bool quiet = leaving_parts_quiet (k);
  if (mm_shares_releasing (k->shares) && quiet)
    mm_shares_release (k->shares);
  if (!k->leaving || (!quiet && now - k->leaving_ms < MM_HANDOVER_MS))
    return;
  for (uint32_t i = 0; i < k->p.parts; i++)
    close_home (k, i);
  mm_shares_leave (k->shares);
}

/* A home that may have been outranked starts nothing: the next one may have
   started it.  */
static bool
may_start (const mm_kept *k, uint32_t part, mm_time_ms now)
{
  uint64_t epoch;
  return !k->leaving && now - mm_shares_sure_ms (k->shares) < MM_GROUP_SURE_MS
         && mm_shares_of_part (k->shares, part, &epoch) == MM_SHARE_OURS;
}

/* ---- tasks out of sight ----------------------------------------------- */

static mm_home *
home_here (const mm_kept *k, const char *job_id)
{
  return k->home[mm_homes_part_of (k->homes, job_id)];
}

static void
on_found_end (void *ctx, const mm_found_end *e, const char *owner)
{
  mm_home *h = home_here (ctx, e->task.job);
  if (h)
    mm_home_take_end (h, e, owner);
}

static void
on_none_left (void *ctx, GHashTable *tasks)
{
  mm_kept *k = ctx;
  for (uint32_t i = 0; i < k->p.parts; i++)
    if (k->home[i])
      mm_home_found_all (k->home[i], tasks);
}

static GHashTable *
lost_tasks (const mm_kept *k)
{
  GHashTable *tasks = mm_task_set_new ();
  for (uint32_t i = 0; i < k->p.parts; i++)
    if (k->home[i])
      mm_home_lost (k->home[i], tasks);
  return tasks;
}

static void
look_for_lost (mm_kept *k, bool list_fresh, mm_time_ms now)
{
  if (mm_search_busy (k->search) || now - k->searched_ms < MM_KEPT_CENSUS_MS)
    return;
  GHashTable *tasks = lost_tasks (k);
  if (g_hash_table_size (tasks))
    {
      k->searched_ms = now;
      mm_search_begin (k->search, tasks, list_fresh);
    }
  else
    g_hash_table_destroy (tasks);
}

bool
mm_kept_needs_list (const mm_kept *k)
{
  GHashTable *tasks = lost_tasks (k);
  bool any = g_hash_table_size (tasks) > 0;
  g_hash_table_destroy (tasks);
  return any;
}

/* ---- requests --------------------------------------------------------- */

/* A request that another instance answers.  */
typedef struct
{
  mm_kept *kept;
  char *what; /* the job's id */
  uint32_t part;
  mm_kept_told told;
  void *ctx;
  bool unsure; /* without an answer it may have been done */
} passed_on;

static void
kept_unref (mm_kept *k)
{
  if (--k->refs > 0)
    return;
  g_free (k->home);
  g_free (k->outranked);
  g_free ((char *)k->p.member);
  g_free (k);
}

static void
on_home_told (void *ctx, bool ok, const void *data, size_t len)
{
  passed_on *r = ctx;
  mm_kept_answer a = { 0 };
  if (!ok || !mm_kept_answer_read (data, len, &a))
    {
      a.status = r->unsure ? MM_KEPT_UNSURE : MM_KEPT_BUSY;
      mm_log_event (r->unsure ? MM_EV_KEPT_UNSURE : MM_EV_KEPT_REFUSED,
                    MM_TEXT (r->what), MM_INT (r->part),
                    MM_TEXT ("its home did not answer"));
    }
  if (!r->kept->closed && (!ok || a.status == MM_KEPT_BUSY))
    mm_homes_stale (r->kept->homes);
  r->told (r->ctx, &a);
  kept_unref (r->kept);
  g_free (r->what);
  g_free (r);
}

/* Ask the home of a job, which is not here.  */
static void
pass_on (mm_kept *k, const char *job_id, mm_kept_verb verb, const void *data,
         size_t len, mm_kept_told told, void *ctx)
{
  uint32_t part = mm_homes_part_of (k->homes, job_id);
  const char *home = mm_homes_of (k->homes, part);
  bool linked = home && mm_mesh_is_connected (k->p.mesh, home);
  if (!linked)
    {
      mm_kept_answer busy = { .status = MM_KEPT_BUSY };
      mm_log_event (
          MM_EV_KEPT_REFUSED, MM_TEXT (job_id), MM_INT (part),
          MM_TEXT (home ? "its home is not linked" : "its home is not known"));
      mm_homes_stale (k->homes);
      if (home)
        mm_mesh_need (k->p.mesh, home);
      told (ctx, &busy);
      return;
    }
  passed_on *r = g_new (passed_on, 1);
  *r = (passed_on){ .kept = k,
                    .what = g_strdup (job_id),
                    .part = part,
                    .told = told,
                    .ctx = ctx,
                    .unsure = verb == MM_ASK_SUBMIT || verb == MM_ASK_CANCEL };
  k->refs++;
  mm_time_ms timeout_ms = MM_KEPT_ASK_MS + (r->unsure ? MM_KEPT_ACCEPT_MS : 0);
  mm_mesh_ask (k->p.mesh, home, verb, data, len, timeout_ms, on_home_told, r);
}

void
mm_kept_submit (mm_kept *k, mm_submission *s, const mm_route *route,
                mm_kept_told told, void *ctx)
{
  mm_homes_used (k->homes);
  mm_home *h = home_here (k, s->id);
  mm_job_record *rec = mm_job_record_new (s, route);
  if (h)
    {
      mm_home_submit (h, rec, told, ctx);
      return;
    }
  GBytes *packed = mm_job_record_pack (rec);
  gsize len;
  const void *data = g_bytes_get_data (packed, &len);
  pass_on (k, rec->s->id, MM_ASK_SUBMIT, data, len, told, ctx);
  g_bytes_unref (packed);
  mm_job_record_free (rec);
}

void
mm_kept_state (mm_kept *k, const char *job_id, mm_kept_told told, void *ctx)
{
  mm_homes_used (k->homes);
  mm_home *h = home_here (k, job_id);
  if (!h)
    {
      pass_on (k, job_id, MM_ASK_STATE, job_id, strlen (job_id), told, ctx);
      return;
    }
  mm_kept_answer a;
  mm_home_state (h, job_id, &a);
  told (ctx, &a);
}

void
mm_kept_cancel (mm_kept *k, const char *job_id, mm_kept_told told, void *ctx)
{
  mm_homes_used (k->homes);
  mm_home *h = home_here (k, job_id);
  if (h)
    mm_home_cancel (h, job_id, told, ctx);
  else
    pass_on (k, job_id, MM_ASK_CANCEL, job_id, strlen (job_id), told, ctx);
}

static uint32_t
pending_here (const mm_kept *k, const char *queue)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < k->p.parts; i++)
    if (k->home[i])
      n += mm_home_pending (k->home[i], queue);
  return n;
}

/* A count that homes add to.  */
typedef struct
{
  mm_kept *kept;
  mm_kept_answer sum;
  uint32_t open;
  mm_kept_told told;
  void *ctx;
} counting;

static void
count_end (counting *c)
{
  c->told (c->ctx, &c->sum);
  kept_unref (c->kept);
  g_free (c);
}

static void
on_counted (void *ctx, bool ok, const void *data, size_t len)
{
  counting *c = ctx;
  mm_kept_answer a = { 0 };
  if (ok && mm_kept_answer_read (data, len, &a) && a.status == MM_KEPT_OK)
    c->sum.pending += a.pending;
  else
    c->sum.status = MM_KEPT_BUSY;
  if (--c->open == 0)
    count_end (c);
}

/* The homes of all partitions, each once; free the list only.  */
static GList *
other_homes (const mm_kept *k)
{
  GList *names = NULL;
  for (uint32_t i = 0; i < k->p.parts; i++)
    {
      const char *home = k->home[i] ? NULL : mm_homes_of (k->homes, i);
      if (home && strcmp (home, k->p.member) != 0
          && !g_list_find_custom (names, home, (GCompareFunc)strcmp))
        names = g_list_prepend (names, (gpointer)home);
    }
  return names;
}

void
mm_kept_pending (mm_kept *k, const char *queue, mm_kept_told told, void *ctx)
{
  mm_homes_used (k->homes);
  counting *c = g_new0 (counting, 1);
  c->kept = k;
  c->told = told;
  c->ctx = ctx;
  c->sum.pending = pending_here (k, queue);
  c->open = 1;
  k->refs++;
  GList *homes = other_homes (k);
  for (GList *l = homes; l; l = l->next)
    {
      c->open++;
      mm_mesh_ask (k->p.mesh, l->data, MM_ASK_PENDING, queue, strlen (queue),
                   MM_KEPT_ASK_MS, on_counted, c);
    }
  g_list_free (homes);
  if (--c->open == 0)
    count_end (c);
}

/* ---- other instances' questions --------------------------------------- */

static void
answer_peer (void *ctx, const mm_kept_answer *a)
{
  msgpack_sbuffer b;
  msgpack_sbuffer_init (&b);
  mm_kept_answer_pack (&b, a);
  mm_mesh_answer (ctx, b.data, b.size);
  msgpack_sbuffer_destroy (&b);
}

static void
asked_submit (mm_kept *k, const void *data, size_t len, mm_mesh_reply *reply)
{
  GError *error = NULL;
  mm_kept_answer busy = { .status = MM_KEPT_BUSY };
  mm_job_record *rec = mm_job_record_unpack (data, len, &error);
  mm_home *h = rec && rec->s ? home_here (k, rec->s->id) : NULL;
  if (h)
    {
      mm_home_submit (h, rec, answer_peer, reply);
      return;
    }
  if (error)
    g_warning ("kept: an instance handed in what is no job: %s",
               error->message);
  g_clear_error (&error);
  mm_job_record_free (rec);
  answer_peer (reply, &busy);
}

static void
asked_job (mm_kept *k, mm_kept_verb verb, const char *job_id,
           mm_mesh_reply *reply)
{
  mm_kept_answer a = { .status = MM_KEPT_BUSY };
  mm_home *h = home_here (k, job_id);
  if (h && verb == MM_ASK_CANCEL)
    {
      mm_home_cancel (h, job_id, answer_peer, reply);
      return;
    }
  if (h)
    mm_home_state (h, job_id, &a);
  answer_peer (reply, &a);
}

static void
asked_pending (mm_kept *k, const char *queue, mm_mesh_reply *reply)
{
  mm_kept_answer a
      = { .status = MM_KEPT_OK, .pending = pending_here (k, queue) };
  answer_peer (reply, &a);
}

static void
asked_census (mm_kept *k, const void *data, size_t len, mm_mesh_reply *reply)
{
  mm_census c = mm_census_new ();
  GHashTable *tasks = mm_task_set_read (data, len);
  mm_owner_expect_kept (k->p.owner);
  if (tasks)
    mm_owner_census (k->p.owner, tasks, &c);
  msgpack_sbuffer b;
  msgpack_sbuffer_init (&b);
  mm_census_pack (&b, &c);
  mm_mesh_answer (reply, b.data, b.size);
  msgpack_sbuffer_destroy (&b);
  mm_census_clear (&c);
  if (tasks)
    g_hash_table_destroy (tasks);
}

static void
note_end (void *ctx, const mm_task_id *task, uint32_t mark)
{
  mm_owner_note_end (ctx, task, mark);
}

static void
on_asked (void *ctx, uint32_t verb, const void *data, size_t len,
          mm_mesh_reply *reply)
{
  mm_kept *k = ctx;
  if (verb == MM_TELL_NOTES)
    {
      mm_notes_read (data, len, note_end, k->p.owner);
      return;
    }
  if (!reply)
    return;
  char *text = g_strndup (data, len);
  switch (verb)
    {
    case MM_ASK_SUBMIT:
      asked_submit (k, data, len, reply);
      break;
    case MM_ASK_STATE:
    case MM_ASK_CANCEL:
      asked_job (k, verb, text, reply);
      break;
    case MM_ASK_PENDING:
      asked_pending (k, text, reply);
      break;
    case MM_ASK_CENSUS:
      asked_census (k, data, len, reply);
      break;
    default:
      {
        mm_kept_answer busy = { .status = MM_KEPT_BUSY };
        answer_peer (reply, &busy);
      }
    }
  g_free (text);
}

/* ---- the whole -------------------------------------------------------- */

/**
 * mm_kept_create() - take part in keeping jobs.
 * @p: what it works with; copied.
 *
 * Return: free with mm_kept_destroy().
 */
mm_kept *
mm_kept_create (const mm_kept_parts *p)
{
  mm_kept *k = g_new0 (mm_kept, 1);
  k->refs = 1;
  k->p = *p;
  k->p.member = g_strdup (p->member);
  k->home = g_new0 (mm_home *, p->parts);
  k->outranked = g_new0 (bool, p->parts);
  k->shares
      = mm_shares_create (&p->store, MM_JOBS_GROUP, k->p.member, p->parts);
  k->homes = mm_homes_create (&p->store, p->mesh, k->p.member, p->parts);
  mm_search_events ev
      = { .end = on_found_end, .none_left = on_none_left, .ctx = k };
  k->search = mm_search_create (p->mesh, p->owner, p->catalog, &ev);
  mm_mesh_on_asked (p->mesh, on_asked, k);
  return k;
}

void
mm_kept_destroy (mm_kept *k)
{
  if (!k)
    return;
  k->closed = true;
  mm_mesh_on_asked (k->p.mesh, NULL, NULL);
  for (uint32_t i = 0; i < k->p.parts; i++)
    close_home (k, i);
  mm_search_destroy (k->search);
  mm_homes_destroy (k->homes);
  mm_shares_destroy (k->shares);
  kept_unref (k);
}

void
mm_kept_tick (mm_kept *k, bool list_fresh)
{
  mm_time_ms now = mm_clock_now_ms ();
  mm_shares_tick (k->shares);
  mm_homes_tick (k->homes);
  if (mm_shares_left (k->shares))
    return;
  follow_group (k);
  for (uint32_t i = 0; i < k->p.parts; i++)
    if (k->home[i])
      mm_home_tick (k->home[i], may_start (k, i, now));
  hand_over (k, now);
  look_for_lost (k, list_fresh, now);
}

void
mm_kept_leave (mm_kept *k)
{
  if (k->leaving)
    return;
  k->leaving = true;
  k->leaving_ms = mm_clock_now_ms ();
}

bool
mm_kept_left (const mm_kept *k)
{
  return mm_shares_left (k->shares);
}

uint32_t
mm_kept_open (const mm_kept *k)
{
  uint32_t n = 0;
  for (uint32_t i = 0; i < k->p.parts; i++)
    if (k->home[i])
      n += mm_home_open_jobs (k->home[i]);
  return n;
}
