/* mm_shard: who owns a shard of jobs, decided by its log stream.

   The stream "accept.DC.N" holds, per record:
     {"kind":"take","by":NAME,"inc":INCARNATION}    a new owner
     {"kind":"accept","by":NAME,"inc":..,"fp":HEX,"jobs":[ID,...]}
     {"kind":"release","by":NAME,"inc":..}          a graceful hand-over
   Every append carries the owner's epoch.  To take the shard, an
   instance reads the stream to its end, then appends a "take" with a
   higher epoch on the condition that the stream still ends there; of two
   that try, the log lets one through.  From then on it refuses the old
   owner's appends, so what was read is all that was ever accepted: an
   owner that was frozen, cut off or wrongly thought dead cannot accept
   one more job when it comes back.  A job starts only after its accept
   is in the log.

   One append is in flight per shard; jobs that come meanwhile go out in
   the next one (group commit), so a slow log makes larger batches, not
   more appends.  */
#include "mm_shard.h"

#include "config.h"
#include "mm_known.h"

#include <cJSON.h>
#include <string.h>

typedef enum
{
  SHARD_IDLE,
  SHARD_READING, /* before the take: what epoch, which records */
  SHARD_TAKING,  /* the take record is on its way */
  SHARD_HELD
} shard_state;

/* A job that waits for its accept record.  */
typedef struct
{
  char *job_id;
  mm_accept_cb done; /* NULL once cancelled */
  void *ctx;
  bool in_append; /* part of the append in flight */
} waiting_job;

struct mm_shard
{
  const mm_shard_env *env;
  char *stream;
  shard_state state;
  bool call_open;
  int64_t epoch;        /* ours while HELD or TAKING */
  int64_t seen_epoch;   /* highest the stream told */
  int64_t cursor;       /* next offset to read */
  char *holder;         /* of the last take record */
  bool holder_released; /* the last take was followed by a release */
  bool owner_gap;       /* we took it from one that had not released it */
  bool unwitnessed;     /* and nobody alive was up in its time */
  bool releasing;       /* hand it over with the next append */
  bool polite; /* leave the shard to a holder that has not released it */
  uint32_t failed_takes;  /* in a row */
  mm_time_ms appended_ms; /* the last accept record */
  ev_timer pace;          /* until the next may go out */
  mm_time_ms taken_ms;    /* when we became the owner */
  mm_time_ms yielded_ms;  /* when we were fenced, 0 never */
  GQueue waiting;         /* waiting_job *, oldest first */
  GPtrArray *owed;        /* ids of jobs that started unrecorded */
  guint owed_in_append;   /* how many of them are on their way */
  mm_known *known;        /* jobs accepted before, not held here */
  GQueue verify;          /* verify_waiter *, for the next call */
  GQueue verifying;       /* verify_waiter *, for the call that is open */
};

typedef struct
{
  mm_shard_verify_cb done;
  void *ctx;
} verify_waiter;

static void advance (mm_shard *s);
static void pace_cb (struct ev_loop *loop, ev_timer *w, int revents);

static void
free_waiting (gpointer data)
{
  waiting_job *w = data;
  g_free (w->job_id);
  g_free (w);
}

/**
 * mm_shard_create() - a shard, not owned yet.
 * @env: what all shards share; must outlive the shard.
 * @index: the shard's number in the data centre.
 *
 * Return: the shard; free with mm_shard_destroy().
 */
mm_shard *
mm_shard_create (const mm_shard_env *env, uint32_t index)
{
  mm_shard *s = g_new0 (mm_shard, 1);
  s->env = env;
  s->stream = g_strdup_printf ("accept.%s.%u", env->datacentre, index);
  g_queue_init (&s->waiting);
  g_queue_init (&s->verify);
  g_queue_init (&s->verifying);
  ev_timer_init (&s->pace, pace_cb, 0., 0.);
  s->pace.data = s;
  s->appended_ms = -env->accept_interval_ms;
  s->owed = g_ptr_array_new_with_free_func (g_free);
  s->known = mm_known_create ();
  return s;
}

void
mm_shard_destroy (mm_shard *s)
{
  if (!s)
    return;
  ev_timer_stop (s->env->loop, &s->pace);
  g_queue_clear_full (&s->waiting, free_waiting);
  g_queue_clear_full (&s->verify, g_free);
  g_queue_clear_full (&s->verifying, g_free);
  mm_known_destroy (s->known);
  g_ptr_array_free (s->owed, TRUE);
  g_free (s->holder);
  g_free (s->stream);
  g_free (s);
}

typedef bool (*waiting_test) (const mm_shard *s, const waiting_job *w);

static bool
any_job (const mm_shard *s, const waiting_job *w)
{
  return true;
}

static bool
was_appended (const mm_shard *s, const waiting_job *w)
{
  return w->in_append;
}

static bool
is_known (const mm_shard *s, const waiting_job *w)
{
  return mm_known_find (s->known, w->job_id, NULL);
}

/* Answer the waiting jobs that pass @test.  They leave the queue before
   the first callback, as a callback may hand the same job in again.  */
static void
settle (mm_shard *s, waiting_test test, mm_accept_verdict verdict)
{
  GQueue ready = G_QUEUE_INIT;
  for (GList *l = s->waiting.head, *next; l; l = next)
    {
      next = l->next;
      if (!test (s, l->data))
        continue;
      g_queue_push_tail (&ready, l->data);
      g_queue_delete_link (&s->waiting, l);
    }
  char *holder = g_strdup (s->holder);
  waiting_job *w;
  while ((w = g_queue_pop_head (&ready)))
    {
      mm_accept a
          = { .verdict = verdict, .epoch = s->epoch, .holder = holder };
      mm_known_find (s->known, w->job_id, &a.fingerprint);
      if (w->done)
        w->done (&a, w->ctx);
      free_waiting (w);
    }
  g_free (holder);
}

/* Another instance raised the epoch: the shard is not ours any more.  */
static void
lose (mm_shard *s, int64_t their_epoch)
{
  mm_counters_add (s->env->counters, "shards_lost", 1);
  s->seen_epoch = MAX (s->seen_epoch, their_epoch);
  s->yielded_ms = mm_clock_now_ms ();
  g_ptr_array_set_size (s->owed, 0);
  /* Who took it stands in the stream: read on before jobs move.  */
  s->state = SHARD_READING;
}

static void
take_record (mm_shard *s, const cJSON *data)
{
  const char *kind = cJSON_GetStringValue (cJSON_GetObjectItem (data, "kind"));
  const char *by = cJSON_GetStringValue (cJSON_GetObjectItem (data, "by"));
  const char *inc = cJSON_GetStringValue (cJSON_GetObjectItem (data, "inc"));
  if (!kind || !by || !inc)
    return;
  if (g_str_equal (kind, "take"))
    {
      g_free (s->holder);
      s->holder = g_strdup (by);
      s->holder_released = false;
    }
  else if (g_str_equal (kind, "release"))
    s->holder_released = true;
  /* Our own accepts of this life are in the jobs and answers that the
     instance keeps itself, or were given to mm_shard_remember().  */
  else if (g_str_equal (kind, "accept")
           && strcmp (inc, s->env->incarnation) != 0)
    {
      const char *fp = cJSON_GetStringValue (cJSON_GetObjectItem (data, "fp"));
      const cJSON *id;
      cJSON_ArrayForEach (id, cJSON_GetObjectItem (data, "jobs"))
        {
          if (!cJSON_IsString (id))
            continue;
          mm_shard_remember (s, id->valuestring,
                             fp ? g_ascii_strtoull (fp, NULL, 16) : 0);
        }
    }
}

static void
expire_known (mm_shard *s)
{
  mm_known_expire (s->known, mm_clock_now_ms () - s->env->ttl_ms);
}

static int64_t
int_field (const cJSON *o, const char *key)
{
  const cJSON *v = cJSON_GetObjectItem (o, key);
  return cJSON_IsNumber (v) ? (int64_t)v->valuedouble : 0;
}

/* As far as we have read.  */
static bool
held_by_another (const mm_shard *s)
{
  return s->holder && !s->holder_released
         && strcmp (s->holder, s->env->self) != 0;
}

static void
read_done (const mm_http_result *res, void *ctx)
{
  mm_shard *s = ctx;
  s->call_open = false;
  s->env->contact (res->status == 200, s->env->ctx);
  if (res->status != 200)
    return;
  cJSON *o = cJSON_ParseWithLength (res->body, res->body_bytes);
  int64_t head = int_field (o, "head");
  const cJSON *r;
  cJSON_ArrayForEach (r, cJSON_GetObjectItem (o, "records"))
    {
      int64_t offset = int_field (r, "offset");
      if (offset < s->cursor)
        continue;
      take_record (s, cJSON_GetObjectItem (r, "data"));
      s->cursor = offset + 1;
    }
  if (!cJSON_GetArraySize (cJSON_GetObjectItem (o, "records")))
    s->cursor = MAX (s->cursor, head);
  s->seen_epoch = MAX (s->seen_epoch, int_field (o, "epoch"));
  cJSON_Delete (o);
  if (s->state == SHARD_READING && s->cursor >= head)
    {
      if (mm_shard_yielded (s, mm_clock_now_ms ()) && s->holder
          && strcmp (s->holder, s->env->self) != 0)
        {
          /* Fenced just now: the jobs go to who took the shard.  */
          s->state = SHARD_IDLE;
          settle (s, any_job, MM_ACCEPT_MOVED);
          return;
        }
      if (s->polite && g_queue_is_empty (&s->waiting) && held_by_another (s))
        {
          s->state = SHARD_IDLE;
          return;
        }
      s->state = SHARD_TAKING;
    }
  advance (s);
}

static void
read_on (mm_shard *s)
{
  char *url = g_strdup_printf ("%s/v1/log/%s?from=%" G_GINT64_FORMAT,
                               s->env->platform_url, s->stream, s->cursor);
  s->call_open = true;
  mm_counters_add (s->env->counters, "shard_reads", 1);
  mm_http_client_call (s->env->http, "GET", url, NULL, MM_LOG_CALL_TIMEOUT_MS,
                       read_done, s);
  g_free (url);
}

static void
append (mm_shard *s, cJSON *record, bool at_cursor, mm_http_done done)
{
  cJSON_AddStringToObject (record, "by", s->env->self);
  cJSON_AddStringToObject (record, "inc", s->env->incarnation);
  char *body = cJSON_PrintUnformatted (record);
  cJSON_Delete (record);
  char *at = at_cursor ? g_strdup_printf ("&at=%" G_GINT64_FORMAT, s->cursor)
                       : g_strdup ("");
  char *url = g_strdup_printf ("%s/v1/log/%s?epoch=%" G_GINT64_FORMAT "%s",
                               s->env->platform_url, s->stream, s->epoch, at);
  s->call_open = true;
  mm_counters_add (s->env->counters, "shard_appends", 1);
  mm_http_client_call (s->env->http, "POST", url, body, MM_LOG_CALL_TIMEOUT_MS,
                       done, s);
  g_free (at);
  g_free (url);
  free (body);
}

static int64_t
answer_field (const mm_http_result *res, const char *key)
{
  cJSON *o = cJSON_ParseWithLength (res->body, res->body_bytes);
  int64_t v = int_field (o, key);
  cJSON_Delete (o);
  return v;
}

/* The platform answered, whatever it said.  */
static bool
answered (const mm_http_result *res)
{
  return res->status == 200 || res->status == 409 || res->status == 412;
}

static void
become_owner (mm_shard *s)
{
  expire_known (s);
  s->owner_gap = s->holder && !s->holder_released;
  s->unwitnessed = s->owner_gap && !s->env->witnessed (s->env->ctx);
  g_free (s->holder);
  s->holder = g_strdup (s->env->self);
  s->holder_released = false;
  s->state = SHARD_HELD;
  s->failed_takes = 0;
  s->taken_ms = mm_clock_now_ms ();
  s->yielded_ms = 0;
  mm_counters_add (s->env->counters, "shards_taken", 1);
}

static void
take_done (const mm_http_result *res, void *ctx)
{
  mm_shard *s = ctx;
  s->call_open = false;
  s->env->contact (answered (res), s->env->ctx);
  if (res->status == 200)
    {
      s->cursor = answer_field (res, "offset") + 1;
      become_owner (s);
      advance (s);
      return;
    }
  /* Somebody wrote meanwhile, or our take may be in the log although its
     answer was lost: read on and try with a higher epoch.  Against a busy
     owner that can fail for long, so after a few tries the next waits for
     mm_shard_retry().  */
  s->state = SHARD_READING;
  s->failed_takes++;
  if (res->status == 409)
    s->seen_epoch = MAX (s->seen_epoch, answer_field (res, "epoch"));
  if (answered (res) && s->failed_takes % MM_SHARD_TAKE_BURST)
    advance (s);
}

static void
take (mm_shard *s)
{
  s->epoch = s->seen_epoch + 1;
  cJSON *r = cJSON_CreateObject ();
  cJSON_AddStringToObject (r, "kind", "take");
  append (s, r, true, take_done);
}

static void
accept_done (const mm_http_result *res, void *ctx)
{
  mm_shard *s = ctx;
  s->call_open = false;
  s->env->contact (answered (res), s->env->ctx);
  if (res->status == 200)
    {
      g_ptr_array_remove_range (s->owed, 0, s->owed_in_append);
      s->owed_in_append = 0;
      settle (s, was_appended, MM_ACCEPT_FRESH);
      advance (s);
      return;
    }
  s->owed_in_append = 0;
  for (GList *l = s->waiting.head; l; l = l->next)
    ((waiting_job *)l->data)->in_append = false;
  if (res->status == 409)
    {
      lose (s, answer_field (res, "epoch"));
      advance (s);
    }
}

static void
pace_cb (struct ev_loop *loop, ev_timer *w, int revents)
{
  advance (w->data);
}

/* Keeps the log's appends within its budget at a large size, at the
   price of waiting: jobs that come meanwhile share the next record.  */
static bool
must_wait (mm_shard *s)
{
  mm_time_ms left
      = s->appended_ms + s->env->accept_interval_ms - mm_clock_now_ms ();
  if (left <= 0)
    return false;
  if (!ev_is_active (&s->pace))
    {
      ev_timer_set (&s->pace, (double)left / 1000.0, 0.);
      ev_timer_start (s->env->loop, &s->pace);
    }
  return true;
}

static void
append_accepts (mm_shard *s)
{
  if (must_wait (s))
    return;
  s->appended_ms = mm_clock_now_ms ();
  cJSON *r = cJSON_CreateObject ();
  cJSON_AddStringToObject (r, "kind", "accept");
  char fp[17];
  g_snprintf (fp, sizeof fp, "%016" G_GINT64_MODIFIER "x",
              s->env->fingerprint (s->env->ctx));
  cJSON_AddStringToObject (r, "fp", fp);
  cJSON *jobs = cJSON_AddArrayToObject (r, "jobs");
  for (GList *l = s->waiting.head; l; l = l->next)
    {
      waiting_job *w = l->data;
      w->in_append = true;
      cJSON_AddItemToArray (jobs, cJSON_CreateString (w->job_id));
    }
  for (guint i = 0; i < s->owed->len; i++)
    cJSON_AddItemToArray (jobs, cJSON_CreateString (s->owed->pdata[i]));
  s->owed_in_append = s->owed->len;
  append (s, r, false, accept_done);
}

static void
release_done (const mm_http_result *res, void *ctx)
{
  mm_shard *s = ctx;
  s->call_open = false;
  s->env->contact (answered (res), s->env->ctx);
  if (res->status == 409)
    lose (s, answer_field (res, "epoch"));
  else if (res->status == 200)
    {
      s->state = SHARD_IDLE;
      g_free (s->holder);
      s->holder = NULL;
      settle (s, any_job, MM_ACCEPT_MOVED);
    }
  s->releasing = false;
  if (answered (res))
    advance (s);
}

static void
append_release (mm_shard *s)
{
  cJSON *r = cJSON_CreateObject ();
  cJSON_AddStringToObject (r, "kind", "release");
  append (s, r, false, release_done);
}

/* One step on: at most one call to the log is open per shard.  */
static void
advance (mm_shard *s)
{
  if (s->call_open)
    return;
  switch (s->state)
    {
    case SHARD_IDLE:
      if (!g_queue_is_empty (&s->waiting))
        {
          s->state = SHARD_READING;
          read_on (s);
        }
      break;
    case SHARD_READING:
      read_on (s);
      break;
    case SHARD_TAKING:
      take (s);
      break;
    case SHARD_HELD:
      settle (s, is_known, MM_ACCEPT_KNOWN);
      /* The callbacks may have brought us back here already.  */
      if (s->call_open || s->state != SHARD_HELD)
        break;
      if (s->env->outage (s->env->ctx))
        mm_shard_serve_unrecorded (s);
      else if (s->releasing && !s->owed->len)
        append_release (s);
      else if (!g_queue_is_empty (&s->waiting) || s->owed->len)
        append_accepts (s);
      break;
    }
}

/**
 * mm_shard_superseded() - somebody showed us a higher epoch.
 * @s: the shard.
 * @epoch: the epoch an upstream has for one of its jobs; 0 when it only
 *         refused ours as too old.
 */
void
mm_shard_superseded (mm_shard *s, int64_t epoch)
{
  if (s->state == SHARD_HELD && (!epoch || epoch > s->epoch))
    {
      lose (s, epoch);
      advance (s);
    }
}

/**
 * mm_shard_accept() - record that we run a job, before it starts.
 * @s: the shard.
 * @job_id: the job.
 * @done: called once, perhaps before this returns.
 * @ctx: context pointer for @done; also names the job to
 *       mm_shard_cancel().
 */
void
mm_shard_accept (mm_shard *s, const char *job_id, mm_accept_cb done, void *ctx)
{
  waiting_job *w = g_new0 (waiting_job, 1);
  w->job_id = g_strdup (job_id);
  w->done = done;
  w->ctx = ctx;
  g_queue_push_tail (&s->waiting, w);
  advance (s);
}

/**
 * mm_shard_cancel() - forget a pending accept.
 * @s: the shard.
 * @ctx: what mm_shard_accept() was given.
 *
 * The record may still reach the log; a later owner that reads it finds
 * the job started nowhere and runs it.
 */
void
mm_shard_cancel (mm_shard *s, void *ctx)
{
  for (GList *l = s->waiting.head; l; l = l->next)
    {
      waiting_job *w = l->data;
      if (w->ctx != ctx)
        continue;
      w->done = NULL;
      if (!w->in_append)
        {
          g_queue_delete_link (&s->waiting, l);
          free_waiting (w);
        }
      return;
    }
}

static void verify_next (mm_shard *s);

static void
verify_done (const mm_http_result *res, void *ctx)
{
  mm_shard *s = ctx;
  s->env->contact (answered (res), s->env->ctx);
  int64_t epoch = res->status == 200 ? answer_field (res, "epoch") : 0;
  bool ours = s->state == SHARD_HELD && epoch == s->epoch;
  mm_shard_superseded (s, MAX (epoch, 1));
  GQueue ready = s->verifying;
  g_queue_init (&s->verifying);
  verify_waiter *v;
  while ((v = g_queue_pop_head (&ready)))
    {
      v->done (ours, v->ctx);
      g_free (v);
    }
  verify_next (s);
}

static void
verify_next (mm_shard *s)
{
  if (g_queue_is_empty (&s->verify) || !g_queue_is_empty (&s->verifying))
    return;
  s->verifying = s->verify;
  g_queue_init (&s->verify);
  char *url = g_strdup_printf ("%s/v1/log/%s?max=1&from=%" G_GINT64_FORMAT,
                               s->env->platform_url, s->stream, INT64_MAX);
  mm_counters_add (s->env->counters, "shard_verifies", 1);
  mm_http_client_call (s->env->http, "GET", url, NULL, MM_VERIFY_TIMEOUT_MS,
                       verify_done, s);
  g_free (url);
}

/**
 * mm_shard_verify() - is the shard still ours, by the log's word of now?
 * @s: the shard.
 * @done: called once; false also when the log does not answer soon.
 * @ctx: context pointer for @done.
 *
 * One call is open per shard; who asks meanwhile shares the next one.
 */
void
mm_shard_verify (mm_shard *s, mm_shard_verify_cb done, void *ctx)
{
  if (s->state != SHARD_HELD)
    {
      done (false, ctx);
      return;
    }
  verify_waiter *v = g_new0 (verify_waiter, 1);
  v->done = done;
  v->ctx = ctx;
  g_queue_push_tail (&s->verify, v);
  verify_next (s);
}

/**
 * mm_shard_take() - own the shard ahead of its jobs.
 * @s: the shard; nothing happens when it is held or being taken.
 * @polite: not from a holder that has not released it.
 */
void
mm_shard_take (mm_shard *s, bool polite)
{
  if (s->state != SHARD_IDLE || s->call_open
      || (polite && held_by_another (s)))
    return;
  s->polite = polite;
  s->state = SHARD_READING;
  read_on (s);
}

bool
mm_shard_held (const mm_shard *s)
{
  return s->state == SHARD_HELD;
}

/**
 * mm_shard_remember() - a job that we accepted and do not have any more.
 * @s: the shard.
 * @job_id: the job.
 * @fingerprint: the upstreams listed when we accepted it.
 *
 * Guards against a second run when a job moves away and comes back: our
 * own records in the log are skipped when read, so without this the job
 * would look new (tasks started twice after a freeze).
 */
void
mm_shard_remember (mm_shard *s, const char *job_id, uint64_t fingerprint)
{
  mm_known_add (s->known, job_id, fingerprint, mm_clock_now_ms ());
}

/**
 * mm_shard_knows() - did an owner before us accept this job?
 * @s: the shard; when it is not held, more may have been accepted.
 * @job_id: the job.
 */
bool
mm_shard_knows (const mm_shard *s, const char *job_id)
{
  return mm_known_find (s->known, job_id, NULL);
}

/**
 * mm_shard_owner_gap() - did the owner before us go without a release?
 * @s: the shard.
 *
 * If the platform was out in its time, it may have run jobs without a
 * record.  After ttl_ms no answer of that time can be asked for.
 */
bool
mm_shard_owner_gap (const mm_shard *s)
{
  return s->owner_gap && mm_clock_now_ms () - s->taken_ms < s->env->ttl_ms;
}

/**
 * mm_shard_unwitnessed() - could an outage have gone unseen?
 * @s: the shard, with an owner gap.
 *
 * Return: true when no instance that is alive was up in the time of the
 * owner before us.
 */
bool
mm_shard_unwitnessed (const mm_shard *s)
{
  return s->unwitnessed;
}

/* Guards against two instances with different member lists taking a
   shard from each other for every job: who was fenced holds back for a
   while and passes jobs on to who took it.  */
bool
mm_shard_yielded (const mm_shard *s, mm_time_ms now)
{
  return s->yielded_ms && now - s->yielded_ms < MM_SHARD_HOLD_DOWN_MS;
}

const char *
mm_shard_holder (const mm_shard *s)
{
  return s->holder;
}

bool
mm_shard_waiting (const mm_shard *s)
{
  return s->waiting.length > 0;
}

/**
 * mm_shard_retry() - go on after a call that failed.
 * @s: the shard; nothing happens when a call is open.
 */
void
mm_shard_retry (mm_shard *s)
{
  expire_known (s);
  advance (s);
}

/**
 * mm_shard_serve_unrecorded() - let waiting jobs start without a record.
 * @s: the shard; only jobs of a held shard may start.
 *
 * The caller has made sure that no instance can reach the log, so nobody
 * can take the shard from now on.  Somebody may have taken it just before
 * without our knowing: the caller lets the upstreams decide, whose word
 * on a job's epoch stands in for the log's.  The records stay owed and go out
 * with the next append; a later owner that saw the outage does not rely on
 * them and asks the upstreams instead.
 */
void
mm_shard_serve_unrecorded (mm_shard *s)
{
  if (s->state != SHARD_HELD)
    return;
  mm_counters_add (s->env->counters, "accepts_unrecorded", s->waiting.length);
  for (GList *l = s->waiting.head; l; l = l->next)
    g_ptr_array_add (s->owed, g_strdup (((waiting_job *)l->data)->job_id));
  settle (s, any_job, MM_ACCEPT_UNRECORDED);
}

/**
 * mm_shard_give_up() - pass every waiting job on.
 * @s: the shard.
 * @holder: who gets them, or NULL when nobody is known.
 */
void
mm_shard_give_up (mm_shard *s, const char *holder)
{
  char *keep = s->holder;
  s->holder = g_strdup (holder);
  settle (s, any_job, MM_ACCEPT_MOVED);
  g_free (s->holder);
  s->holder = keep;
}

/**
 * mm_shard_insist() - take the shard although it was lost just now.
 * @s: the shard; who took it is gone.
 */
void
mm_shard_insist (mm_shard *s)
{
  s->yielded_ms = 0;
}

/**
 * mm_shard_release() - hand the shard over.
 * @s: the shard; its owed records go out first, and jobs that come
 *     meanwhile are MOVED.
 */
void
mm_shard_release (mm_shard *s)
{
  if (s->state != SHARD_HELD || s->releasing)
    return;
  s->releasing = true;
  advance (s);
}

uint32_t
mm_shard_known_jobs (const mm_shard *s)
{
  return mm_known_count (s->known);
}
