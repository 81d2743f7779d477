/* HTTP requests that change state: submission, cancellation, configuration. */
#include "frontend-private.h"

#include "fb-status.h"
#include "internal/codec.h"

#include <string.h>

typedef struct
{
  FbFrontend *frontend;
  guint64 call_id;
  FbCallMode mode;
  char *class_name;
  char *key;
  GBytes *payload;
  guint64 tasks;
  guint64 deadline_ms; /* 0: the default of the class */
  guint64 run_ms;      /* 0: the default of the class */
} Submit;

static void
submit_free (gpointer data)
{
  Submit *submit = data;
  g_free (submit->class_name);
  g_free (submit->key);
  g_bytes_unref (submit->payload);
  g_free (submit);
}

/* ---- requests and jobs ------------------------------------------------ */

/* The same idempotency key gives the same id on every daemon, so that duplicates reach the owner of
 * the same range. Without a key the id is random. */
static uint64_t
job_id (const Submit *submit, uint32_t partner)
{
  if (submit->key == NULL)
    return ((uint64_t) g_random_int () << 32) | g_random_int ();
  g_autofree char *text = g_strdup_printf ("%u/%s/%s", partner, submit->class_name, submit->key);
  return fb_hash64 (text, 1);
}

static void
fill_job (fb_job *job, const Submit *submit, uint32_t partner, const FbPolicyClass *class)
{
  gsize len = 0;
  const void *payload = g_bytes_get_data (submit->payload, &len);
  job->id = job_id (submit, partner);
  job->partner = partner;
  job->team = fb_team_id (class->team);
  job->kind = class->kind;
  job->flags = class->flags;
  /* A request without a key is not written to the log: only its caller, over this connection, can
   * get the result. */
  if (submit->mode == FB_CALL_REQUEST && submit->key == NULL)
    job->flags |= FB_FLAG_EPHEMERAL;
  job->count = (uint32_t) submit->tasks;
  job->demand = class->demand;
  job->remaining_ms = submit->deadline_ms > 0 ? submit->deadline_ms : class->deadline_ms;
  job->run_ms = submit->run_ms > 0 ? submit->run_ms : class->run_ms;
  job->key = submit->key != NULL ? submit->key : (char *) "";
  job->payload.payload_len = (u_int) len;
  job->payload.payload_val = (char *) payload;
}

static void
submit_on_core (FbNode *node, uint64_t now_ms, gpointer data)
{
  Submit *submit = data;
  FbFrontend *frontend = submit->frontend;
  const FbPolicyClass *class = fb_policy_class (fb_node_policy (node, frontend->partner),
                                                submit->class_name);
  if (class == NULL || class->kind == FB_KIND_SERVICE)
    {
      fb_frontend_post_error (
          frontend, submit->call_id, SOUP_STATUS_UNPROCESSABLE_ENTITY,
          "class: expected one that the partner's configuration declares, not a service");
      return;
    }
  fb_job job;
  memset (&job, 0, sizeof job);
  fill_job (&job, submit, frontend->partner, class);
  fb_frontend_post_job (frontend, submit->call_id, job.id);
  fb_node_submit (node, now_ms, &job, submit->mode == FB_CALL_JOB);
}

static gboolean
read_number (GHashTable *query, const char *name, guint64 min, guint64 max, guint64 *value)
{
  const char *text = query != NULL ? g_hash_table_lookup (query, name) : NULL;
  return text == NULL || g_ascii_string_to_unsigned (text, 10, min, max, value, NULL);
}

static GBytes *
request_body (SoupServerMessage *message)
{
  return soup_message_body_flatten (soup_server_message_get_request_body (message));
}

static void
submit (FbFrontend *self, SoupServerMessage *message, GHashTable *query, FbCallMode mode)
{
  FbCall *call = fb_frontend_call_new (self, message, mode);
  Submit *command = g_new0 (Submit, 1);
  *command = (Submit){ .frontend = self, .call_id = call->id, .mode = mode, .tasks = 1 };
  command->payload = request_body (message);
  const char *class_name = query != NULL ? g_hash_table_lookup (query, "class") : NULL;
  const char *key = soup_message_headers_get_one (soup_server_message_get_request_headers (message),
                                                  "Idempotency-Key");
  const char *error = NULL;
  if (class_name == NULL)
    error = "class: expected ?class=NAME";
  else if (key != NULL && (key[0] == '\0' || strlen (key) > FB_MAX_KEY))
    error = "Idempotency-Key: expected 1 to 128 characters";
  else if (!read_number (query, "tasks", 1, 20000, &command->tasks)
           || (mode == FB_CALL_REQUEST && command->tasks != 1))
    error = "tasks: expected a whole number from 1 to 20000, and 1 for a request";
  else if (!read_number (query, "deadline-ms", 1, G_MAXUINT32, &command->deadline_ms))
    error = "deadline-ms: expected a whole number above 0";
  else if (!read_number (query, "run-ms", 1, G_MAXUINT32, &command->run_ms))
    error = "run-ms: expected a whole number above 0";
  if (error != NULL)
    {
      submit_free (command);
      fb_frontend_refuse (call, SOUP_STATUS_BAD_REQUEST, error);
      return;
    }
  if (self->closed)
    {
      submit_free (command);
      fb_frontend_refuse (call, SOUP_STATUS_SERVICE_UNAVAILABLE, "this daemon is leaving");
      return;
    }
  command->class_name = g_strdup (class_name);
  command->key = g_strdup (key);
  fb_core_command (self->core, submit_on_core, command, submit_free);
}

/* ---- cancellation ----------------------------------------------------- */

static void
cancel_on_core (FbNode *node, uint64_t now_ms, gpointer data)
{
  const FbFrontendCoreRequest *command = data;
  if (!fb_node_cancel (node, now_ms, command->frontend->partner, command->job))
    fb_frontend_post_error (command->frontend, command->call_id, SOUP_STATUS_SERVICE_UNAVAILABLE,
                            "the range of this job has no owner now");
}

static void
cancel (FbFrontend *self, SoupServerMessage *message, const char *text)
{
  FbCall *call = fb_frontend_job_call_new (self, message, FB_CALL_JOB_QUERY, text);
  if (call != NULL)
    fb_core_command (self->core, cancel_on_core, fb_frontend_core_request_new (call), g_free);
}

/* ---- configuration ---------------------------------------------------- */

typedef struct
{
  FbFrontend *frontend;
  guint64 call_id;
  GBytes *body;
} Publish;

static void
publish_free (gpointer data)
{
  Publish *publish = data;
  g_bytes_unref (publish->body);
  g_free (publish);
}

static guint
publish_status (FbNodeConfigStatus status)
{
  switch (status)
    {
    case FB_NODE_CONFIG_OK:
      return SOUP_STATUS_ACCEPTED;
    case FB_NODE_CONFIG_CONFLICT:
      return SOUP_STATUS_CONFLICT;
    case FB_NODE_CONFIG_UNSIGNED:
      return SOUP_STATUS_FORBIDDEN;
    default:
      return SOUP_STATUS_UNPROCESSABLE_ENTITY;
    }
}

/* The request body is an encoded record that contains the signed revision. */
static void
publish_on_core (FbNode *node, uint64_t now_ms, gpointer data)
{
  Publish *publish = data;
  gsize len = 0;
  const void *bytes = g_bytes_get_data (publish->body, &len);
  fb_record record;
  if (!fb_codec_decode_record (bytes, len, &record))
    {
      fb_frontend_post_error (publish->frontend, publish->call_id, SOUP_STATUS_UNPROCESSABLE_ENTITY,
                              "expected an encoded revision, as made by flamingobarrow apply");
      return;
    }
  FbNodeConfigStatus status = FB_NODE_CONFIG_MALFORMED;
  if (record.body.type == FB_REC_CONFIG)
    status = fb_node_publish (node, now_ms, &record.body.fb_rec_body_u.config);
  fb_codec_clear_record (&record);
  if (status == FB_NODE_CONFIG_OK)
    fb_frontend_post_text (publish->frontend, publish->call_id, publish_status (status),
                           "application/json", g_strdup ("{}"));
  else
    fb_frontend_post_error (publish->frontend, publish->call_id, publish_status (status),
                            fb_status_message ());
}

static void
publish (FbFrontend *self, SoupServerMessage *message)
{
  FbCall *call = fb_frontend_call_new (self, message, FB_CALL_WITHOUT_JOB);
  Publish *command = g_new (Publish, 1);
  *command = (Publish){ self, call->id, request_body (message) };
  fb_core_command (self->core, publish_on_core, command, publish_free);
}

gboolean
fb_frontend_command (FbFrontend *self, SoupServerMessage *message, const char *path,
                     GHashTable *query)
{
  const char *method = soup_server_message_get_method (message);
  gboolean post = g_str_equal (method, "POST");
  if (post && g_str_equal (path, "/v1/requests"))
    submit (self, message, query, FB_CALL_REQUEST);
  else if (post && g_str_equal (path, "/v1/jobs"))
    submit (self, message, query, FB_CALL_JOB);
  else if (post && g_str_equal (path, "/v1/config"))
    publish (self, message);
  else if (g_str_equal (method, "DELETE") && g_str_has_prefix (path, "/v1/jobs/"))
    cancel (self, message, path + strlen ("/v1/jobs/"));
  else
    return FALSE;
  return TRUE;
}
