/* mm_entry_route: routes the job of a request to the instance that owns it.

   The owner is found by shard (mm_entry_shards.c).  When the owner does not
   answer, the request is routed again.  The log decides which instance owns
   the shard and the upstreams know what ran, so submitting the same job to
   another instance starts no task twice.  The caller waits for the single
   answer, at most until the job's deadline.  */
#include "config.h"
#include "mm_entry_priv.h"

/* Status by which a leaving instance makes a peer route a job elsewhere.  */
#define PEER_LEAVING_STATUS 421

/* A request that is routed to another instance.  */
typedef struct
{
  mm_entry *entry;
  mm_waiter *waiter;
  char *job_id;
  char *peer;             /* name of the peer that it was forwarded to */
  GByteArray *packed;     /* the job, from mm_job_pack() */
  mm_time_ms deadline_ms; /* on the clock of mm_clock_now_ms() */
  uint32_t failures;      /* how often a peer did not serve it */
} routed_request;

static void route (routed_request *routed, const char *owner);

/**
 * mm_entry_waiter_reply() - answer one request.
 * @e: the entry instance.
 * @w: the request, from a caller or from a peer.
 * @status: HTTP status.
 * @body: JSON text, copied.
 * @retry_after_s: when to submit again, 0 for never.
 */
void
mm_entry_waiter_reply (mm_entry *e, const mm_waiter *w, unsigned status,
                       const char *body, uint32_t retry_after_s)
{
  if (w->http)
    mm_http_reply (w->http, status, body, retry_after_s);
  else
    mm_peer_reply (e->peer_links, w->link_id, w->req_id, status, retry_after_s,
                   body);
}

/**
 * mm_entry_refuse() - answer one request with an error.
 * @e: the entry instance.
 * @w: the request.
 * @status: HTTP status.
 * @code: mm_error_code.
 * @why: message for the caller.
 * @retry_after_s: when to submit again, 0 for never.
 */
void
mm_entry_refuse (mm_entry *e, const mm_waiter *w, unsigned status, int code,
                 const char *why, uint32_t retry_after_s)
{
  char *b = mm_json_error_body (code, why, retry_after_s);
  mm_entry_waiter_reply (e, w, status, b, retry_after_s);
  free (b);
}

static uint32_t
retry_after_s (mm_entry *e)
{
  return (uint32_t)mm_cfg_current (e->cfg)->retry_after_s;
}

/* Answers a resubmit with the stored answer of its job.  */
static void
reply_stored_answer (mm_entry *e, const mm_waiter *w, const char *answer)
{
  mm_counters_add (e->counters, "resubmits_answered", 1);
  cJSON *o = cJSON_Parse (answer);
  const char *status
      = cJSON_GetStringValue (cJSON_GetObjectItem (o, "status"));
  bool complete = status && g_str_equal (status, "complete");
  cJSON_Delete (o);
  mm_entry_waiter_reply (e, w, complete ? 200 : 502, answer, 0);
}

/* Answers the request from a stored answer, or adds it to the job in
   progress.  Returns false when this instance has neither; otherwise takes
   ownership of @w.  */
static bool
join_known_job (mm_entry *e, mm_waiter *w, const char *job_id)
{
  const char *answer = g_hash_table_lookup (e->answers, job_id);
  mm_entry_job *running = g_hash_table_lookup (e->jobs, job_id);
  if (answer)
    {
      reply_stored_answer (e, w, answer);
      g_free (w);
    }
  else if (running)
    {
      mm_counters_add (e->counters, "resubmits_joined", 1);
      g_ptr_array_add (running->waiters, w);
    }
  return answer || running;
}

/* A refusal that waits until the log confirms the owner of the shard.  */
typedef struct
{
  mm_entry *entry;
  mm_waiter *waiter;
  mm_refusal refusal;
} verified_refusal;

/* Refuses the job.  @owned: this instance owns the shard, and no other one can
   have run the job.  */
static void
refuse_after_verify (bool owned, void *ctx)
{
  verified_refusal *v = ctx;
  const mm_refusal *r = &v->refusal;
  char *text = g_strdup_printf (
      "%s; %s", r->why,
      owned ? "not run"
            : "not taken, what came of an earlier submission is unknown");
  mm_entry_refuse (v->entry, v->waiter, r->status, r->code, text,
                   r->retry_after_s);
  g_free (text);
  g_free (v->waiter);
  g_free (v);
}

/* Refuses a job.  This instance may have lost the job's shard without
   noticing, and another instance may have run the job.  So the refusal says
   "not run" only after the log has confirmed this instance as the owner.
   Takes ownership of @w.  */
static void
refuse (mm_entry *e, mm_waiter *w, const mm_job *job, const mm_refusal *r)
{
  verified_refusal *v = g_new0 (verified_refusal, 1);
  v->entry = e;
  v->waiter = w;
  v->refusal = *r;
  mm_counters_add (e->counters, "jobs_refused", 1);
  if (!*e->settings.platform_url)
    refuse_after_verify (true, v);
  else if (mm_entry_earlier_accept (e, job->id) != MM_EARLIER_ACCEPT_NONE)
    refuse_after_verify (false, v);
  else
    mm_shard_verify (mm_entry_shard_of (e, job->id), refuse_after_verify, v);
}

/* Admits and starts a job that this instance owns, or refuses it.  Takes
   ownership of @w and @job.  */
static void
admit_job (mm_entry *e, mm_waiter *w, mm_job *job)
{
  mm_refusal r;
  /* A job that an earlier owner accepted has been admitted already.  */
  if (!e->shutting_down
      && (mm_entry_earlier_accept (e, job->id) == MM_EARLIER_ACCEPT_KNOWN
          || mm_entry_admit (e, job, &r)))
    {
      mm_entry_job_start (e, w, job);
      return;
    }
  if (e->shutting_down)
    r = (mm_refusal){ 503, MM_ERROR_OVERLOADED, "instance is shutting down",
                      retry_after_s (e) };
  refuse (e, w, job, &r);
  mm_job_destroy (job);
}

static mm_job *
unpack (mm_entry *e, const uint8_t *data, size_t len, GError **error)
{
  return mm_job_unpack (
      data, len, (uint32_t)mm_cfg_current (e->cfg)->max_tasks_per_job, error);
}

static void
routed_request_destroy (routed_request *routed)
{
  g_byte_array_free (routed->packed, TRUE);
  g_free (routed->job_id);
  g_free (routed->peer);
  g_free (routed->waiter);
  g_free (routed);
}

/* Answers the caller that no instance answered for the job.  The job may be
   running somewhere, so the answer does not call it "not run".  */
static void
fail_request (routed_request *routed, const char *why)
{
  mm_entry *e = routed->entry;
  char *text = g_strdup_printf (
      "%s; outcome unknown, submit the same job again", why);
  mm_counters_add (e->counters, "forwards_failed", 1);
  mm_entry_refuse (e, routed->waiter, 503, MM_ERROR_UPSTREAM, text,
                   retry_after_s (e));
  g_free (text);
  routed_request_destroy (routed);
}

/* Passes on the answer of a peer, or routes the request again.  After a
   timeout the deadline has passed and the peer may still run the job, so the
   request is not routed again.  */
static void
forward_answered (const mm_peer_answer *a, void *ctx)
{
  routed_request *routed = ctx;
  mm_entry *e = routed->entry;
  if (!a->error && a->status != PEER_LEAVING_STATUS)
    {
      mm_entry_waiter_reply (e, routed->waiter, a->status, a->body,
                             a->retry_after_s);
      routed_request_destroy (routed);
    }
  else if (a->error && a->error->code == MM_ERROR_TIMEOUT)
    fail_request (routed, "the owner did not answer in time");
  else
    {
      mm_counters_add (e->counters, "reroutes", 1);
      routed->failures++;
      mm_entry_suspect_peer (e, routed->peer);
      route (routed, NULL);
    }
}

/* Forwards a request to a peer, which has until MM_FORWARD_SLACK_MS after the
   deadline to answer.  */
static void
forward (routed_request *routed, const char *peer)
{
  mm_entry *e = routed->entry;
  mm_time_ms remaining_ms = routed->deadline_ms - mm_clock_now_ms ();
  g_free (routed->peer);
  routed->peer = g_strdup (peer);
  mm_counters_add (e->counters, "jobs_forwarded", 1);
  mm_peer_forward (e->peer_links, g_hash_table_lookup (e->peer_addrs, peer),
                   routed->waiter->hops + 1, routed->packed->data,
                   routed->packed->len, remaining_ms + MM_FORWARD_SLACK_MS,
                   forward_answered, routed);
}

/* Forwards a request to the peer that owns its job now, or handles it here.
   @owner: the owner of the shard, or NULL when not known.  */
static void
route (routed_request *routed, const char *owner)
{
  mm_entry *e = routed->entry;
  if (routed->failures > MM_FORWARD_MAX_HOPS
      || mm_clock_now_ms () >= routed->deadline_ms)
    {
      fail_request (routed, "no instance answered for the job");
      return;
    }
  const char *peer
      = owner && g_hash_table_contains (e->peer_addrs, owner)
            ? owner
            : mm_entry_route (e, routed->job_id, routed->waiter->hops);
  if (peer && g_hash_table_contains (e->peer_addrs, peer))
    {
      forward (routed, peer);
      return;
    }
  mm_waiter *w = g_new (mm_waiter, 1);
  *w = *routed->waiter;
  mm_entry_check_shard_owner (e, routed->job_id);
  if (!join_known_job (e, w, routed->job_id))
    {
      GError *err = NULL;
      /* The job was valid when it was packed, but a lower max_tasks_per_job
         may have been published since.  */
      mm_job *job
          = unpack (e, routed->packed->data, routed->packed->len, &err);
      if (job)
        admit_job (e, w, job);
      else
        {
          mm_entry_refuse (e, w, 413, err->code, err->message, 0);
          g_free (w);
          g_error_free (err);
        }
    }
  routed_request_destroy (routed);
}

static routed_request *
routed_request_create (mm_entry *e, mm_waiter *w, const mm_job *job)
{
  routed_request *routed = g_new0 (routed_request, 1);
  routed->entry = e;
  routed->waiter = w;
  routed->job_id = g_strdup (job->id);
  routed->packed = g_byte_array_new ();
  mm_job_pack (job, routed->packed);
  routed->deadline_ms = mm_clock_now_ms () + mm_entry_first_deadline_ms (job);
  return routed;
}

/**
 * mm_entry_reroute() - route a request whose job moved to another instance.
 * @e: the entry instance.
 * @w: a request that waits for the job; ownership is taken.
 * @job: the job.
 * @owner: the instance that owns it now, or NULL when not known.
 */
void
mm_entry_reroute (mm_entry *e, mm_waiter *w, const mm_job *job,
                  const char *owner)
{
  routed_request *routed = routed_request_create (e, w, job);
  if (!owner && !mm_entry_route (e, job->id, w->hops)
      && mm_contact_lost (e->contact, mm_clock_now_ms ()))
    {
      /* This instance can neither record the job in the log nor forward it
         to another one: it fails the request at once.  */
      fail_request (routed, "the platform's log cannot be reached");
      return;
    }
  route (routed, owner);
}

/* Joins a job that is known here, or runs it here, or forwards it to a peer.
   Takes ownership of @w and @job.  */
static void
handle_job (mm_entry *e, mm_waiter *w, mm_job *job)
{
  if (join_known_job (e, w, job->id))
    {
      mm_job_destroy (job);
      return;
    }
  /* Prevents a job from bouncing between this leaving instance and a peer
     whose member list still shows this instance as the owner.  */
  if (e->shutting_down && !w->http)
    {
      mm_entry_waiter_reply (e, w, PEER_LEAVING_STATUS, "", 0);
      g_free (w);
      mm_job_destroy (job);
      return;
    }
  const char *peer = mm_entry_route (e, job->id, w->hops);
  if (!peer || !g_hash_table_contains (e->peer_addrs, peer))
    {
      admit_job (e, w, job);
      return;
    }
  forward (routed_request_create (e, w, job), peer);
  mm_job_destroy (job);
}

/* Answers a request whose job could not be decoded.  Takes ownership of @w and
   @err.  */
static void
refuse_bad_request (mm_entry *e, mm_waiter *w, GError *err)
{
  mm_counters_add (e->counters, "requests_bad", 1);
  mm_entry_refuse (e, w, err->code == MM_ERROR_JOB_SIZE ? 413 : 400, err->code,
                   err->message, 0);
  g_error_free (err);
  g_free (w);
}

/**
 * mm_entry_submit() - handle a caller's POST /v1/jobs.
 * @e: the entry instance.
 * @req: the request; it is answered now or when the job ends.
 */
void
mm_entry_submit (mm_entry *e, mm_http_request *req)
{
  size_t len;
  const char *body = mm_http_request_body (req, &len);
  GError *err = NULL;
  mm_job *job = mm_job_parse_json (
      body, len, (uint32_t)mm_cfg_current (e->cfg)->max_tasks_per_job, &err);
  mm_waiter *w = g_new0 (mm_waiter, 1);
  w->http = req;
  if (job)
    handle_job (e, w, job);
  else
    refuse_bad_request (e, w, err);
}

/**
 * mm_entry_submit_forwarded() - handle a job that a peer forwarded.
 * @e: the entry instance.
 * @link_id: the link to the peer.
 * @req_id: the peer's request id.
 * @hops: how often the job was forwarded.
 * @data: the packed job.
 * @len: length of @data in bytes.
 */
void
mm_entry_submit_forwarded (mm_entry *e, uint64_t link_id, uint64_t req_id,
                           uint32_t hops, const uint8_t *data, size_t len)
{
  GError *err = NULL;
  mm_waiter *w = g_new0 (mm_waiter, 1);
  w->link_id = link_id;
  w->req_id = req_id;
  w->hops = hops;
  mm_job *job = unpack (e, data, len, &err);
  if (job)
    {
      mm_counters_add (e->counters, "jobs_taken_from_peers", 1);
      handle_job (e, w, job);
    }
  else
    refuse_bad_request (e, w, err);
}
