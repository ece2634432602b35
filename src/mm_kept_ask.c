/* mm_kept_ask: requests about kept jobs go to their homes; some are here.  */
#include "mm_kept_priv.h"

#include "config.h"
#include "mm_event.h"

#include <string.h>

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
  mm_kept_unref (r->kept);
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
  mm_home *h = mm_kept_home_of (k, s->id);
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
  mm_home *h = mm_kept_home_of (k, job_id);
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
  mm_home *h = mm_kept_home_of (k, job_id);
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
  mm_kept_unref (c->kept);
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
  mm_home *h = rec && rec->s ? mm_kept_home_of (k, rec->s->id) : NULL;
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
  mm_home *h = mm_kept_home_of (k, job_id);
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

/* @text: the data, as the id or name that most verbs ask about.  */
static void
answer_question (mm_kept *k, uint32_t verb, const char *text, const void *data,
                 size_t len, mm_mesh_reply *reply)
{
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
    case MM_ASK_FOREIGN:
      {
        mm_kept_answer a;
        mm_kept_answer_foreign (k, text, &a);
        answer_peer (reply, &a);
        break;
      }
    case MM_ASK_CENSUS:
      asked_census (k, data, len, reply);
      break;
    default:
      {
        mm_kept_answer busy = { .status = MM_KEPT_BUSY };
        answer_peer (reply, &busy);
      }
    }
}

void
mm_kept_on_asked (void *ctx, uint32_t verb, const void *data, size_t len,
                  mm_mesh_reply *reply)
{
  mm_kept *k = ctx;
  if (verb == MM_TELL_NOTES)
    {
      mm_notes_read (data, len, note_end, k->p.owner);
      return;
    }
  char *text = g_strndup (data, len);
  if (verb == MM_TELL_ENDED)
    mm_owner_forget_job (k->p.owner, text);
  if (reply)
    answer_question (k, verb, text, data, len, reply);
  g_free (text);
}
