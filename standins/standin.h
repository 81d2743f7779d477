/* Shared by the stand-ins of the platform: a JSON server over HTTP whose faults
 * are set at run time by POST /control. */
#pragma once

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

typedef struct
{
  gint64 delay_ms;       /* ms before each answer; 0: none */
  gboolean outage;       /* answers 503 to every request but /record and /control */
  gboolean lose_answers; /* handles requests and closes the connection without an answer */
  gboolean freeze;       /* never answers the requests that arrive, except /record and /control */
} StandinFaults;

typedef struct _Standin Standin;

/* Handles one request.  Returns: (transfer full) the answer, or NULL when the
 * handler paused MESSAGE and answers later with standin_answer(). */
typedef JsonBuilder *(*StandinHandler) (gpointer user, SoupServerMessage *message, const char *path,
                                        GHashTable *query, JsonObject *body);

/* Listens on 127.0.0.1:PORT; exits the process with a message when it cannot. */
Standin *standin_new (guint port, StandinHandler handler, gpointer user);
StandinFaults *standin_faults (Standin *self);
void standin_answer (Standin *self, SoupServerMessage *message, JsonBuilder *answer);

/* Called with the body of each POST /control, for members other than the faults above. */
typedef void (*StandinControl) (gpointer user, JsonObject *body);
void standin_set_control (Standin *self, StandinControl control);

JsonBuilder *standin_object (void);
void standin_add_int (JsonBuilder *out, const char *name, gint64 value);
void standin_add_text (JsonBuilder *out, const char *name, const char *value);

guint64 standin_query_u64 (GHashTable *query, const char *name, guint64 default_value);
guint64 standin_now_ms (void);
