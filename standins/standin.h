/* JSON server over HTTP, shared by the stand-ins for the platform's services.  Faults are set at
 * run time with POST /control. */
#pragma once

#include <json-glib/json-glib.h>
#include <libsoup/soup.h>

typedef struct
{
  gint64 delay_ms;       /* delay of each response; 0: none */
  gboolean outage;       /* all requests except /record and /control are answered with 503 */
  gboolean lose_answers; /* requests are handled and their connections closed without a response */
  gboolean freeze;       /* no request except /record and /control is ever answered */
} StandinFaults;

typedef struct _Standin Standin;

/* Handles one request.  Returns: (transfer full): the response, or NULL when the handler responds
 * later with standin_answer(). */
typedef JsonBuilder *(*StandinHandler) (gpointer user, SoupServerMessage *message, const char *path,
                                        GHashTable *query, JsonObject *body);

/* Listens on 127.0.0.1:PORT; when that fails, exits the process with a message. */
Standin *standin_new (guint port, StandinHandler handler, gpointer user);
StandinFaults *standin_faults (Standin *self);
void standin_answer (Standin *self, SoupServerMessage *message, JsonBuilder *answer);

/* Called with the body of each POST /control, to handle members other than those of StandinFaults.
 */
typedef void (*StandinControl) (gpointer user, JsonObject *body);
void standin_set_control (Standin *self, StandinControl control);

JsonBuilder *standin_object (void);
void standin_add_int (JsonBuilder *out, const char *name, gint64 value);
void standin_add_text (JsonBuilder *out, const char *name, const char *value);

guint64 standin_query_u64 (GHashTable *query, const char *name, guint64 default_value);
guint64 standin_now_ms (void);
