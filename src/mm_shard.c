/* mm_shard: ownership of a shard of jobs, decided by the shard's log stream.

   The stream "accept.DC.N" holds these records:
     {"kind":"take","by":NAME,"inc":INCARNATION}    a new owner
     {"kind":"accept","by":NAME,"inc":..,"fp":HEX,"jobs":[ID,...]}
     {"kind":"release","by":NAME,"inc":..}          a graceful handover
   "fp" is the fingerprint of the upstreams listed at the accept.

   Every append carries the owner's epoch, a fencing token.  To take the shard,
   an instance reads the stream to its end, then appends a "take" record with a
   higher epoch, on the condition that the stream still ends there.  When two
   instances try at the same time, the log accepts one of the two records.
   From then on the log refuses appends with a lower epoch, so the new owner
   has read every job that was ever accepted: a previous owner that was
   stalled, disconnected or wrongly assumed dead cannot accept another job when
   it comes back.  A job starts only after its accept record is in the log.

   At most one append per shard is in flight; jobs that come meanwhile are
   recorded by the next append (group commit), so a slow log leads to larger
   batches, not to more appends.  */
#include "mm_shard.h"

#include "config.h"
#include "mm_accepted_jobs.h"

#include <cJSON.h>
#include <string.h>

typedef enum
{
  SHARD_IDLE,    /* not owned, and not being taken */
  SHARD_READING, /* reading the stream to its end before a take */
  SHARD_TAKING,  /* the take record is in flight, or the next call */
  SHARD_OWNED    /* owned by this instance */
} shard_state;

/* A job whose accept record is not in the log yet.  */
typedef struct
{
  char *job_id;
  mm_accept_cb done; /* NULL once cancelled */
  void *ctx;
  bool in_append; /* the append in flight records it */
} waiting_job;

struct mm_shard
{
  const mm_shard_env *env;
  char *stream; /* "accept.DC.N", the shard's stream in the log */
  shard_state state;
  bool call_in_flight; /* a read or an append is in flight */
  int64_t epoch;       /* of this instance; valid while OWNED or TAKING */
  int64_t seen_epoch;  /* highest epoch known of the stream */
  int64_t cursor;      /* next offset to read */
  char *owner;         /* owner by the last take record read, or NULL */
  bool owner_released; /* a release record followed the last take */
  /* The previous owner had not released the shard.  */
  bool unclean_takeover;
  /* The takeover was unclean, and no instance that is alive now was up in the
     previous owner's time.  */
  bool unobserved;
  bool releasing;          /* release the shard when unrecorded is empty */
  bool only_if_released;   /* take the shard only if its owner released it */
  uint32_t failed_takes;   /* takes refused or unanswered in a row */
  mm_time_ms appended_ms;  /* when the last accept record was sent */
  ev_timer interval_timer; /* runs until the next accept may be appended */
  mm_time_ms taken_ms;     /* when this instance became the owner */
  mm_time_ms fenced_ms;    /* when last fenced, 0: may take the shard */
  GQueue waiting;          /* waiting_job *, oldest first */
  GPtrArray *unrecorded;   /* ids of jobs that started without a record */
  guint unrecorded_sent;   /* number of unrecorded in the append in flight */
  mm_accepted_jobs *accepted; /* accepted jobs that are not stored here */
  GQueue verify_queue;        /* verify_waiter *, for the next verify call */
  GQueue verify_in_flight;    /* verify_waiter *, for the one in flight */
};

/* A call of mm_shard_verify() that has no answer yet.  */
typedef struct
{
  mm_shard_verify_cb done;
  void *ctx;
} verify_waiter;

static void advance (mm_shard *s);
static void interval_cb (struct ev_loop *loop, ev_timer *w, int revents);

static void
waiting_free (gpointer data)
{
  waiting_job *w = data;
  g_free (w->job_id);
  g_free (w);
}

/**
 * mm_shard_create() - create a shard that is not owned yet.
 * @env: what all shards share; must outlive the shard.
 * @index: the shard's number in the data centre.
 *
 * Return: the shard, to free with mm_shard_destroy().
 */
mm_shard *
mm_shard_create (const mm_shard_env *env, uint32_t index)
{
  mm_shard *s = g_new0 (mm_shard, 1);
  s->env = env;
  s->stream = g_strdup_printf ("accept.%s.%u", env->datacentre, index);
  g_queue_init (&s->waiting);
  g_queue_init (&s->verify_queue);
  g_queue_init (&s->verify_in_flight);
  ev_timer_init (&s->interval_timer, interval_cb, 0., 0.);
  s->interval_timer.data = s;
  s->appended_ms = -env->accept_interval_ms;
  s->unrecorded = g_ptr_array_new_with_free_func (g_free);
  s->accepted = mm_accepted_jobs_create ();
  return s;
}

void
mm_shard_destroy (mm_shard *s)
{
  if (!s)
    return;
  ev_timer_stop (s->env->loop, &s->interval_timer);
  g_queue_clear_full (&s->waiting, waiting_free);
  g_queue_clear_full (&s->verify_queue, g_free);
  g_queue_clear_full (&s->verify_in_flight, g_free);
  mm_accepted_jobs_destroy (s->accepted);
  g_ptr_array_free (s->unrecorded, TRUE);
  g_free (s->owner);
  g_free (s->stream);
  g_free (s);
}

typedef bool (*waiting_filter) (const mm_shard *s, const waiting_job *w);

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
was_accepted (const mm_shard *s, const waiting_job *w)
{
  return mm_accepted_jobs_find (s->accepted, w->job_id, NULL);
}

/* Answers the waiting jobs that @matches selects.  All of them are removed
   from the queue before the first callback, as a callback may submit the same
   job again.  */
static void
answer_waiting (mm_shard *s, waiting_filter matches, mm_accept_verdict verdict)
{
  GQueue ready = G_QUEUE_INIT;
  for (GList *l = s->waiting.head, *next; l; l = next)
    {
      next = l->next;
      if (!matches (s, l->data))
        continue;
      g_queue_push_tail (&ready, l->data);
      g_queue_delete_link (&s->waiting, l);
    }
  char *owner = g_strdup (s->owner);
  waiting_job *w;
  while ((w = g_queue_pop_head (&ready)))
    {
      mm_accept a
          = { .verdict = verdict, .epoch = s->epoch, .shard_owner = owner };
      mm_accepted_jobs_find (s->accepted, w->job_id, &a.fingerprint);
      if (w->done)
        w->done (&a, w->ctx);
      waiting_free (w);
    }
  g_free (owner);
}

/* Ends this instance's ownership, as another instance raised the epoch.  The
   log would refuse the missing records of unrecorded jobs, so their ids are
   dropped.  */
static void
on_fenced (mm_shard *s, int64_t new_epoch)
{
  mm_counters_add (s->env->counters, "shards_lost", 1);
  s->seen_epoch = MAX (s->seen_epoch, new_epoch);
  s->fenced_ms = mm_clock_now_ms ();
  g_ptr_array_set_size (s->unrecorded, 0);
  /* The stream names the new owner: read it before jobs are passed on.  */
  s->state = SHARD_READING;
}

/* Applies a record that was read from the stream.  A record without kind,
   owner or incarnation is ignored.  */
static void
apply_record (mm_shard *s, const cJSON *data)
{
  const char *kind = cJSON_GetStringValue (cJSON_GetObjectItem (data, "kind"));
  const char *by = cJSON_GetStringValue (cJSON_GetObjectItem (data, "by"));
  const char *inc = cJSON_GetStringValue (cJSON_GetObjectItem (data, "inc"));
  if (!kind || !by || !inc)
    return;
  if (g_str_equal (kind, "take"))
    {
      g_free (s->owner);
      s->owner = g_strdup (by);
      s->owner_released = false;
    }
  else if (g_str_equal (kind, "release"))
    s->owner_released = true;
  /* Skips accepts of this incarnation: the instance has these jobs or their
     answers itself, or has passed them to mm_shard_add_accepted().  */
  else if (g_str_equal (kind, "accept")
           && strcmp (inc, s->env->incarnation) != 0)
    {
      const char *fp = cJSON_GetStringValue (cJSON_GetObjectItem (data, "fp"));
      const cJSON *id;
      cJSON_ArrayForEach (id, cJSON_GetObjectItem (data, "jobs"))
        {
          if (!cJSON_IsString (id))
            continue;
          mm_shard_add_accepted (s, id->valuestring,
                                 fp ? g_ascii_strtoull (fp, NULL, 16) : 0);
        }
    }
}

/* Drops accepted jobs that are older than ttl_ms.  */
static void
expire_accepted (mm_shard *s)
{
  mm_accepted_jobs_expire (s->accepted, mm_clock_now_ms () - s->env->ttl_ms);
}

/* Returns a number of a JSON object, 0 when it is missing.  */
static int64_t
int_field (const cJSON *o, const char *key)
{
  const cJSON *v = cJSON_GetObjectItem (o, key);
  return cJSON_IsNumber (v) ? (int64_t)v->valuedouble : 0;
}

/* Returns whether another instance owns the shard and has not released it.
   Only the records read so far are taken into account.  */
static bool
owned_by_another (const mm_shard *s)
{
  return s->owner && !s->owner_released
         && strcmp (s->owner, s->env->self) != 0;
}

/* Applies the records that a read of the stream returned.  Once the stream is
   read to its end, takes the shard or leaves it to its owner.  After a failed
   read, mm_shard_retry() reads again.  */
static void
read_done (const mm_http_result *res, void *ctx)
{
  mm_shard *s = ctx;
  s->call_in_flight = false;
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
      apply_record (s, cJSON_GetObjectItem (r, "data"));
      s->cursor = offset + 1;
    }
  /* Any records between cursor and head were dropped by retention.  */
  if (!cJSON_GetArraySize (cJSON_GetObjectItem (o, "records")))
    s->cursor = MAX (s->cursor, head);
  s->seen_epoch = MAX (s->seen_epoch, int_field (o, "epoch"));
  cJSON_Delete (o);
  if (s->state == SHARD_READING && s->cursor >= head)
    {
      if (mm_shard_recently_fenced (s, mm_clock_now_ms ()) && s->owner
          && strcmp (s->owner, s->env->self) != 0)
        {
          /* After being fenced, this instance forwards the jobs to the new
             owner for MM_SHARD_HOLD_DOWN_MS and does not take the shard.  */
          s->state = SHARD_IDLE;
          answer_waiting (s, any_job, MM_ACCEPT_MOVED);
          return;
        }
      if (s->only_if_released && g_queue_is_empty (&s->waiting)
          && owned_by_another (s))
        {
          s->state = SHARD_IDLE;
          return;
        }
      s->state = SHARD_TAKING;
    }
  advance (s);
}

/* Reads the stream from the cursor on.  */
static void
read_stream (mm_shard *s)
{
  char *url = g_strdup_printf ("%s/v1/log/%s?from=%" G_GINT64_FORMAT,
                               s->env->platform_url, s->stream, s->cursor);
  s->call_in_flight = true;
  mm_counters_add (s->env->counters, "shard_reads", 1);
  mm_http_client_call (s->env->http, "GET", url, NULL, MM_LOG_CALL_TIMEOUT_MS,
                       read_done, s);
  g_free (url);
}

/* Appends @record to the stream with the epoch of this instance, and frees
   it.  With @at_cursor the log refuses the record (412) unless the stream ends
   at the cursor.  */
static void
append_record (mm_shard *s, cJSON *record, bool at_cursor, mm_http_done done)
{
  cJSON_AddStringToObject (record, "by", s->env->self);
  cJSON_AddStringToObject (record, "inc", s->env->incarnation);
  char *body = cJSON_PrintUnformatted (record);
  cJSON_Delete (record);
  char *at = at_cursor ? g_strdup_printf ("&at=%" G_GINT64_FORMAT, s->cursor)
                       : g_strdup ("");
  char *url = g_strdup_printf ("%s/v1/log/%s?epoch=%" G_GINT64_FORMAT "%s",
                               s->env->platform_url, s->stream, s->epoch, at);
  s->call_in_flight = true;
  mm_counters_add (s->env->counters, "shard_appends", 1);
  mm_http_client_call (s->env->http, "POST", url, body, MM_LOG_CALL_TIMEOUT_MS,
                       done, s);
  g_free (at);
  g_free (url);
  free (body);
}

/* Returns a number of an answer's JSON body, 0 when it is missing.  */
static int64_t
answer_field (const mm_http_result *res, const char *key)
{
  cJSON *o = cJSON_ParseWithLength (res->body, res->body_bytes);
  int64_t v = int_field (o, key);
  cJSON_Delete (o);
  return v;
}

/* Returns whether the platform answered: with success (200), or with a
   refusal because of a higher epoch (409) or another end of the stream
   (412).  */
static bool
platform_answered (const mm_http_result *res)
{
  return res->status == 200 || res->status == 409 || res->status == 412;
}

/* Makes this instance the owner once its "take" is in the log, and records how
   the previous owner left the shard.  */
static void
become_owner (mm_shard *s)
{
  expire_accepted (s);
  s->unclean_takeover = s->owner && !s->owner_released;
  s->unobserved
      = s->unclean_takeover && !s->env->observed_before (s->env->ctx);
  g_free (s->owner);
  s->owner = g_strdup (s->env->self);
  s->owner_released = false;
  s->state = SHARD_OWNED;
  s->failed_takes = 0;
  s->taken_ms = mm_clock_now_ms ();
  s->fenced_ms = 0;
  mm_counters_add (s->env->counters, "shards_taken", 1);
}

/* Makes this instance the owner if the log has accepted its take record.
   Otherwise reads the stream again before the next try.  */
static void
take_done (const mm_http_result *res, void *ctx)
{
  mm_shard *s = ctx;
  s->call_in_flight = false;
  s->env->contact (platform_answered (res), s->env->ctx);
  if (res->status == 200)
    {
      s->cursor = answer_field (res, "offset") + 1;
      become_owner (s);
      advance (s);
      return;
    }
  /* Another instance has appended meanwhile, or the take record is in the
     log although its answer was lost: read the new records and try again
     with a higher epoch.  While another owner appends often, takes can fail
     for long, so after MM_SHARD_TAKE_BURST tries the next one waits for
     mm_shard_retry().  */
  s->state = SHARD_READING;
  s->failed_takes++;
  if (res->status == 409)
    s->seen_epoch = MAX (s->seen_epoch, answer_field (res, "epoch"));
  if (platform_answered (res) && s->failed_takes % MM_SHARD_TAKE_BURST)
    advance (s);
}

/* Appends the take record with a higher epoch, if the stream still ends at
   the cursor.  */
static void
append_take (mm_shard *s)
{
  s->epoch = s->seen_epoch + 1;
  cJSON *r = cJSON_CreateObject ();
  cJSON_AddStringToObject (r, "kind", "take");
  append_record (s, r, true, take_done);
}

/* Answers the jobs that an accept record holds once the log has it.  After a
   failure the jobs stay waiting, and mm_shard_retry() records them again; a
   refusal (409) shows that another instance has taken the shard.  */
static void
accept_done (const mm_http_result *res, void *ctx)
{
  mm_shard *s = ctx;
  s->call_in_flight = false;
  s->env->contact (platform_answered (res), s->env->ctx);
  if (res->status == 200)
    {
      g_ptr_array_remove_range (s->unrecorded, 0, s->unrecorded_sent);
      s->unrecorded_sent = 0;
      answer_waiting (s, was_appended, MM_ACCEPT_RECORDED);
      advance (s);
      return;
    }
  s->unrecorded_sent = 0;
  for (GList *l = s->waiting.head; l; l = l->next)
    ((waiting_job *)l->data)->in_append = false;
  if (res->status == 409)
    {
      on_fenced (s, answer_field (res, "epoch"));
      advance (s);
    }
}

static void
interval_cb (struct ev_loop *loop, ev_timer *w, int revents)
{
  advance (w->data);
}

/* Returns whether the next accept record must wait, and starts the timer
   that sends it.  The interval keeps the number of appends within the log's
   budget in large installations; jobs that come meanwhile wait and share
   the next record.  */
static bool
accept_delayed (mm_shard *s)
{
  mm_time_ms wait_ms
      = s->appended_ms + s->env->accept_interval_ms - mm_clock_now_ms ();
  if (wait_ms <= 0)
    return false;
  if (!ev_is_active (&s->interval_timer))
    {
      ev_timer_set (&s->interval_timer, (double)wait_ms / 1000.0, 0.);
      ev_timer_start (s->env->loop, &s->interval_timer);
    }
  return true;
}

/* Records all waiting jobs, and the jobs that started without a record, in
   one accept record, unless the last one was sent too recently.  */
static void
append_accept (mm_shard *s)
{
  if (accept_delayed (s))
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
  for (guint i = 0; i < s->unrecorded->len; i++)
    cJSON_AddItemToArray (jobs, cJSON_CreateString (s->unrecorded->pdata[i]));
  s->unrecorded_sent = s->unrecorded->len;
  append_record (s, r, false, accept_done);
}

/* Gives the shard up once the log has the release record.  After a failure
   this instance still owns the shard, and the caller may release it again.  */
static void
release_done (const mm_http_result *res, void *ctx)
{
  mm_shard *s = ctx;
  s->call_in_flight = false;
  s->env->contact (platform_answered (res), s->env->ctx);
  if (res->status == 409)
    on_fenced (s, answer_field (res, "epoch"));
  else if (res->status == 200)
    {
      s->state = SHARD_IDLE;
      g_free (s->owner);
      s->owner = NULL;
      answer_waiting (s, any_job, MM_ACCEPT_MOVED);
    }
  s->releasing = false;
  if (platform_answered (res))
    advance (s);
}

static void
append_release (mm_shard *s)
{
  cJSON *r = cJSON_CreateObject ();
  cJSON_AddStringToObject (r, "kind", "release");
  append_record (s, r, false, release_done);
}

/* Makes the next call to the log that the state of the shard requires, unless
   a read or an append is in flight.  */
static void
advance (mm_shard *s)
{
  if (s->call_in_flight)
    return;
  switch (s->state)
    {
    case SHARD_IDLE:
      if (!g_queue_is_empty (&s->waiting))
        {
          s->state = SHARD_READING;
          read_stream (s);
        }
      break;
    case SHARD_READING:
      read_stream (s);
      break;
    case SHARD_TAKING:
      append_take (s);
      break;
    case SHARD_OWNED:
      answer_waiting (s, was_accepted, MM_ACCEPT_KNOWN);
      /* The callbacks of answer_waiting() may have called advance().  */
      if (s->call_in_flight || s->state != SHARD_OWNED)
        break;
      if (s->env->outage (s->env->ctx))
        mm_shard_serve_unrecorded (s);
      else if (s->releasing && !s->unrecorded->len)
        append_release (s);
      else if (!g_queue_is_empty (&s->waiting) || s->unrecorded->len)
        append_accept (s);
      break;
    }
}

/**
 * mm_shard_superseded() - give the shard up if its epoch has been raised.
 * @s: the shard.
 * @epoch: the epoch that the log has for the shard, or that an upstream has
 *         for one of its jobs; 0 when an upstream refused this instance's
 *         epoch as too old and did not send the newer one.
 *
 * Nothing happens when this instance does not own the shard, or when @epoch
 * is neither 0 nor higher than this instance's epoch.
 */
void
mm_shard_superseded (mm_shard *s, int64_t epoch)
{
  if (s->state == SHARD_OWNED && (!epoch || epoch > s->epoch))
    {
      on_fenced (s, epoch);
      advance (s);
    }
}

/**
 * mm_shard_accept() - record that this instance runs a job, before it starts.
 * @s: the shard; taken first when this instance does not own it.
 * @job_id: the job.
 * @done: called once, possibly before this function returns; never after
 *        mm_shard_cancel().
 * @ctx: context pointer for @done; also identifies the job to
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
 * mm_shard_cancel() - cancel a pending accept; its callback is not called.
 * @s: the shard.
 * @ctx: the context pointer that mm_shard_accept() was given.
 *
 * The record may still reach the log.  A later owner that reads it finds
 * that no task of the job was started, and runs the job.
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
          waiting_free (w);
        }
      return;
    }
}

static void start_verify (mm_shard *s);

/* Answers the waiters of a verify call, then starts the next call if more
   have come meanwhile.  */
static void
verify_done (const mm_http_result *res, void *ctx)
{
  mm_shard *s = ctx;
  /* The answer to a caller waits for this call, so it is given up earlier than
     others.  That it timed out does not show that contact is lost.  */
  if (!res->error || res->error->code != MM_ERROR_TIMEOUT)
    s->env->contact (platform_answered (res), s->env->ctx);
  int64_t epoch = res->status == 200 ? answer_field (res, "epoch") : 0;
  bool owned = s->state == SHARD_OWNED && epoch == s->epoch;
  /* A call without an answer must not pass 0, which would mean a refusal.  */
  mm_shard_superseded (s, MAX (epoch, 1));
  GQueue ready = s->verify_in_flight;
  g_queue_init (&s->verify_in_flight);
  verify_waiter *v;
  while ((v = g_queue_pop_head (&ready)))
    {
      v->done (owned, v->ctx);
      g_free (v);
    }
  start_verify (s);
}

/* Reads the stream's epoch for all waiters of the queue.  A read from
   INT64_MAX returns no records.  */
static void
start_verify (mm_shard *s)
{
  if (g_queue_is_empty (&s->verify_queue)
      || !g_queue_is_empty (&s->verify_in_flight))
    return;
  s->verify_in_flight = s->verify_queue;
  g_queue_init (&s->verify_queue);
  char *url = g_strdup_printf ("%s/v1/log/%s?max=1&from=%" G_GINT64_FORMAT,
                               s->env->platform_url, s->stream, INT64_MAX);
  mm_counters_add (s->env->counters, "shard_verifies", 1);
  mm_http_client_call (s->env->http, "GET", url, NULL, MM_VERIFY_TIMEOUT_MS,
                       verify_done, s);
  g_free (url);
}

/**
 * mm_shard_verify() - check with the log that the shard is still owned.
 * @s: the shard.
 * @done: called once with whether this instance owns the shard; false also
 *        when the log does not answer within MM_VERIFY_TIMEOUT_MS.
 * @ctx: context pointer for @done.
 *
 * At most one such call is in flight per shard; requests that come meanwhile
 * share the next call.
 */
void
mm_shard_verify (mm_shard *s, mm_shard_verify_cb done, void *ctx)
{
  if (s->state != SHARD_OWNED)
    {
      done (false, ctx);
      return;
    }
  verify_waiter *v = g_new0 (verify_waiter, 1);
  v->done = done;
  v->ctx = ctx;
  g_queue_push_tail (&s->verify_queue, v);
  start_verify (s);
}

/**
 * mm_shard_take() - take ownership of the shard before jobs arrive.
 * @s: the shard; nothing happens when this instance owns or is taking it.
 * @only_if_released: leave the shard to another owner that has not released
 *                    it, unless jobs are waiting here.
 */
void
mm_shard_take (mm_shard *s, bool only_if_released)
{
  if (s->state != SHARD_IDLE || s->call_in_flight
      || (only_if_released && owned_by_another (s)))
    return;
  s->only_if_released = only_if_released;
  s->state = SHARD_READING;
  read_stream (s);
}

bool
mm_shard_owned (const mm_shard *s)
{
  return s->state == SHARD_OWNED;
}

/**
 * mm_shard_add_accepted() - add an accepted job that has left this instance.
 * @s: the shard.
 * @job_id: the job.
 * @fingerprint: fingerprint of the upstreams listed when it was accepted.
 *
 * Guards against a second run of a job that moves to another instance and
 * back: accept records of this incarnation are skipped when the stream is
 * read, so the job would look new and its tasks would be started twice, as
 * happens after a stall of this instance.
 */
void
mm_shard_add_accepted (mm_shard *s, const char *job_id, uint64_t fingerprint)
{
  mm_accepted_jobs_add (s->accepted, job_id, fingerprint, mm_clock_now_ms ());
}

/**
 * mm_shard_accepted_before() - check whether a job was accepted before.
 * @s: the shard; while this instance does not own it, more jobs may have
 *     been accepted than are known here.
 * @job_id: the job, not one that this instance is running.
 *
 * Return: true when an earlier owner accepted the job, or when this instance
 * accepted it and it has since moved to another instance.
 */
bool
mm_shard_accepted_before (const mm_shard *s, const char *job_id)
{
  return mm_accepted_jobs_find (s->accepted, job_id, NULL);
}

/**
 * mm_shard_unclean_takeover() - check whether the shard was taken without a
 * release.
 * @s: the shard.
 *
 * A previous owner that did not release the shard may have run jobs without
 * a record in the log, if the platform had an outage in its time.
 *
 * Return: true when the previous owner did not release the shard and this
 * instance took it less than ttl_ms ago.  Answers to jobs of the
 * previous owner's time are no longer kept after that.
 */
bool
mm_shard_unclean_takeover (const mm_shard *s)
{
  return s->unclean_takeover
         && mm_clock_now_ms () - s->taken_ms < s->env->ttl_ms;
}

/**
 * mm_shard_unobserved() - check whether an outage of the platform may have
 * gone unnoticed.
 * @s: the shard, whose previous owner did not release it.
 *
 * Return: true when no live instance was up in the time of the previous
 * owner, so that no instance can know of an outage in that time.
 */
bool
mm_shard_unobserved (const mm_shard *s)
{
  return s->unobserved;
}

/**
 * mm_shard_recently_fenced() - check whether this instance was fenced
 * recently.
 * @s: the shard.
 * @now: mm_clock_now_ms().
 *
 * Guards against two instances with different member lists that take a
 * shard from each other for every job: for MM_SHARD_HOLD_DOWN_MS after it
 * was fenced, an instance forwards jobs to the new owner.
 */
bool
mm_shard_recently_fenced (const mm_shard *s, mm_time_ms now)
{
  return s->fenced_ms && now - s->fenced_ms < MM_SHARD_HOLD_DOWN_MS;
}

const char *
mm_shard_owner (const mm_shard *s)
{
  return s->owner;
}

bool
mm_shard_has_waiting (const mm_shard *s)
{
  return s->waiting.length > 0;
}

/**
 * mm_shard_retry() - repeat the call to the log that failed last.
 * @s: the shard; no call is made while one is in flight.
 *
 * Also drops accepted jobs that are older than ttl_ms.
 */
void
mm_shard_retry (mm_shard *s)
{
  expire_accepted (s);
  advance (s);
}

/**
 * mm_shard_serve_unrecorded() - let waiting jobs start without a record.
 * @s: the shard; nothing happens when this instance does not own it.
 *
 * The caller has checked that no instance can reach the log, so no instance
 * can take the shard from now on.  Another instance may have taken it just
 * before, unknown to this one, so the caller must ask the upstreams which
 * epoch they have for a job.  The missing records are part of the next append.
 * A later owner that knows of the outage asks the upstreams too and does not
 * rely on these records.
 */
void
mm_shard_serve_unrecorded (mm_shard *s)
{
  if (s->state != SHARD_OWNED)
    return;
  mm_counters_add (s->env->counters, "accepts_unrecorded", s->waiting.length);
  for (GList *l = s->waiting.head; l; l = l->next)
    g_ptr_array_add (s->unrecorded,
                     g_strdup (((waiting_job *)l->data)->job_id));
  answer_waiting (s, any_job, MM_ACCEPT_UNRECORDED);
}

/**
 * mm_shard_redirect_waiting() - answer every waiting job with MM_ACCEPT_MOVED.
 * @s: the shard.
 * @target: name of the instance that the jobs go to, or NULL when none is
 *          known.
 */
void
mm_shard_redirect_waiting (mm_shard *s, const char *target)
{
  char *previous = s->owner;
  s->owner = g_strdup (target);
  answer_waiting (s, any_job, MM_ACCEPT_MOVED);
  g_free (s->owner);
  s->owner = previous;
}

/**
 * mm_shard_end_hold_down() - allow this instance to take the shard back.
 * @s: the shard; the instance that took it from this one is gone.
 *
 * Ends the time of MM_SHARD_HOLD_DOWN_MS in which a fenced instance does not
 * take the shard.
 */
void
mm_shard_end_hold_down (mm_shard *s)
{
  s->fenced_ms = 0;
}

/**
 * mm_shard_release() - hand the shard over.
 * @s: the shard; nothing happens when this instance does not own it.
 *
 * Missing records of jobs that started unrecorded are appended first.  Jobs
 * that come meanwhile are answered with MM_ACCEPT_MOVED.
 */
void
mm_shard_release (mm_shard *s)
{
  if (s->state != SHARD_OWNED || s->releasing)
    return;
  s->releasing = true;
  advance (s);
}

uint32_t
mm_shard_accepted_count (const mm_shard *s)
{
  return mm_accepted_jobs_count (s->accepted);
}
