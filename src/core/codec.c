#include "internal/codec.h"

#include <stdlib.h>
#include <string.h>

#define MSG_MAX_BYTES (FB_MAX_BATCH)
/* XDR pads each value to a multiple of this; the length of a string takes as much. */
#define XDR_UNIT_BYTES 4

static GBytes *
encode (xdrproc_t proc, const void *value, gsize max_bytes)
{
  gsize size = xdr_sizeof (proc, (void *) value);
  if (size == 0 || size > max_bytes)
    return NULL;
  char *buffer = g_malloc (size);
  XDR xdr;
  xdrmem_create (&xdr, buffer, (u_int) size, XDR_ENCODE);
  bool_t ok = proc (&xdr, (void *) value);
  xdr_destroy (&xdr);
  if (!ok)
    {
      g_free (buffer);
      return NULL;
    }
  return g_bytes_new_take (buffer, size);
}

/* VALUE must be zeroed. After a failed decode nothing is allocated. */
static gboolean
decode (xdrproc_t proc, const void *data, gsize len, gsize *offset, void *value)
{
  if (*offset >= len || len - *offset > G_MAXUINT32)
    return FALSE;
  XDR xdr;
  xdrmem_create (&xdr, (char *) data + *offset, (u_int) (len - *offset), XDR_DECODE);
  bool_t ok = proc (&xdr, value);
  *offset += xdr_getpos (&xdr);
  xdr_destroy (&xdr);
  if (!ok)
    xdr_free (proc, value);
  return ok;
}

GBytes *
fb_codec_encode_msg (const fb_msg *msg)
{
  return encode ((xdrproc_t) xdr_fb_msg, msg, MSG_MAX_BYTES);
}

gboolean
fb_codec_decode_msg (const void *data, gsize len, gsize *offset, fb_msg *msg)
{
  memset (msg, 0, sizeof *msg);
  return decode ((xdrproc_t) xdr_fb_msg, data, len, offset, msg);
}

void
fb_codec_clear_msg (fb_msg *msg)
{
  xdr_free ((xdrproc_t) xdr_fb_msg, (char *) msg);
}

GBytes *
fb_codec_encode_record (const fb_record *record)
{
  return encode ((xdrproc_t) xdr_fb_record, record, FB_CODEC_RECORD_MAX_BYTES);
}

gboolean
fb_codec_decode_record (const void *data, gsize len, fb_record *record)
{
  gsize offset = 0;
  memset (record, 0, sizeof *record);
  if (!decode ((xdrproc_t) xdr_fb_record, data, len, &offset, record))
    return FALSE;
  if (record->format == FB_REC_VERSION && offset == len)
    return TRUE;
  fb_codec_clear_record (record);
  return FALSE;
}

void
fb_codec_clear_record (fb_record *record)
{
  xdr_free ((xdrproc_t) xdr_fb_record, (char *) record);
}

GBytes *
fb_codec_encode_revision (const fb_rec_revision *revision)
{
  return encode ((xdrproc_t) xdr_fb_rec_revision, revision, FB_MAX_CONFIG);
}

gboolean
fb_codec_decode_revision (const void *data, gsize len, fb_rec_revision *revision)
{
  gsize offset = 0;
  memset (revision, 0, sizeof *revision);
  if (!decode ((xdrproc_t) xdr_fb_rec_revision, data, len, &offset, revision))
    return FALSE;
  if (offset == len)
    return TRUE;
  fb_codec_clear_revision (revision);
  return FALSE;
}

void
fb_codec_clear_revision (fb_rec_revision *revision)
{
  xdr_free ((xdrproc_t) xdr_fb_rec_revision, (char *) revision);
}

/* Decodes one value that occupies all of DATA. */
static gboolean
decode_whole (xdrproc_t proc, const void *data, gsize len, gsize size, void *value)
{
  gsize offset = 0;
  memset (value, 0, size);
  if (!decode (proc, data, len, &offset, value))
    return FALSE;
  if (offset == len)
    return TRUE;
  xdr_free (proc, value);
  return FALSE;
}

/* ---- admissions ------------------------------------------------------------------- */

/* Daemons that do not know accounts refuse records with further members, but they read a string as
 * far as its first NUL.  So the name of the account follows the name of the queue, which is the
 * first member of the record, in the same XDR string behind a NUL. */

static bool_t
xdr_admit_without_account (XDR *xdrs, fb_work_admit *admit)
{
  return xdr_fb_work_policy (xdrs, &admit->policy) && xdr_fb_work_spec (xdrs, &admit->spec)
         && xdr_u_quad_t (xdrs, &admit->accepted_ms);
}

static gsize
padded_len (gsize len)
{
  return (len + XDR_UNIT_BYTES - 1) / XDR_UNIT_BYTES * XDR_UNIT_BYTES;
}

GBytes *
fb_codec_encode_admit (const fb_work_admit *admit)
{
  GBytes *record = encode ((xdrproc_t) xdr_admit_without_account, admit, FB_CODEC_RECORD_MAX_BYTES);
  gsize account_len = admit->account != NULL ? strlen (admit->account) : 0;
  if (record == NULL || account_len == 0)
    return record;
  gsize queue_len = strlen (admit->policy.queue);
  gsize name_len = queue_len + 1 + account_len;
  gsize rest_from = XDR_UNIT_BYTES + padded_len (queue_len);
  g_autoptr (GBytes) without_account = record;
  if (name_len > FB_WORK_MAX_NAME)
    return NULL;
  gsize len = 0;
  const guint8 *data = g_bytes_get_data (without_account, &len);
  GByteArray *out = g_byte_array_sized_new ((guint) (len + padded_len (account_len + 1)));
  uint32_t name_len_be = GUINT32_TO_BE ((uint32_t) name_len);
  static const guint8 zeros[XDR_UNIT_BYTES];
  g_byte_array_append (out, (const guint8 *) &name_len_be, sizeof name_len_be);
  g_byte_array_append (out, (const guint8 *) admit->policy.queue, (guint) queue_len + 1);
  g_byte_array_append (out, (const guint8 *) admit->account, (guint) account_len);
  g_byte_array_append (out, zeros, (guint) (padded_len (name_len) - name_len));
  g_byte_array_append (out, data + rest_from, (guint) (len - rest_from));
  return g_byte_array_free_to_bytes (out);
}

/* Returns: (transfer full): the account behind the name of the queue, allocated as XDR does it; ""
 * if there is none. */
static char *
account_of_admit (const guint8 *data, const fb_work_admit *admit)
{
  uint32_t name_len_be;
  memcpy (&name_len_be, data, sizeof name_len_be);
  gsize name_len = GUINT32_FROM_BE (name_len_be);
  gsize queue_len = strlen (admit->policy.queue);
  gsize account_len = name_len > queue_len ? name_len - queue_len - 1 : 0;
  char *account = calloc (1, account_len + 1);
  memcpy (account, data + XDR_UNIT_BYTES + name_len - account_len, account_len);
  return account;
}

gboolean
fb_codec_decode_admit (const void *data, gsize len, fb_work_admit *admit)
{
  if (!decode_whole ((xdrproc_t) xdr_admit_without_account, data, len, sizeof *admit, admit))
    return FALSE;
  admit->account = account_of_admit (data, admit);
  if (strlen (admit->account) <= FB_WORK_MAX_ACCOUNT)
    return TRUE;
  xdr_free ((xdrproc_t) xdr_fb_work_admit, (char *) admit);
  return FALSE;
}

GBytes *
fb_codec_encode_progress (const fb_work_progress *progress, const fb_work_suspects *suspects)
{
  GBytes *first = encode ((xdrproc_t) xdr_fb_work_progress, progress, FB_CODEC_RECORD_MAX_BYTES);
  if (first == NULL || suspects->tasks.tasks_len == 0)
    return first;
  g_autoptr (GBytes) rest
      = encode ((xdrproc_t) xdr_fb_work_suspects, suspects, FB_CODEC_RECORD_MAX_BYTES);
  if (rest == NULL)
    {
      g_bytes_unref (first);
      return NULL;
    }
  GByteArray *both = g_bytes_unref_to_array (first);
  g_byte_array_append (both, g_bytes_get_data (rest, NULL), (guint) g_bytes_get_size (rest));
  return g_byte_array_free_to_bytes (both);
}

gboolean
fb_codec_decode_progress (const void *data, gsize len, fb_work_progress *progress,
                          fb_work_suspects *suspects)
{
  gsize offset = 0;
  memset (progress, 0, sizeof *progress);
  memset (suspects, 0, sizeof *suspects);
  if (!decode ((xdrproc_t) xdr_fb_work_progress, data, len, &offset, progress))
    return FALSE;
  /* Records written before suspects were introduced, and those of jobs without one, end
   * here. */
  if (offset == len)
    return TRUE;
  if (decode ((xdrproc_t) xdr_fb_work_suspects, data, len, &offset, suspects) && offset == len)
    return TRUE;
  fb_codec_clear_progress (progress, suspects);
  return FALSE;
}

void
fb_codec_clear_progress (fb_work_progress *progress, fb_work_suspects *suspects)
{
  xdr_free ((xdrproc_t) xdr_fb_work_progress, (char *) progress);
  xdr_free ((xdrproc_t) xdr_fb_work_suspects, (char *) suspects);
  memset (progress, 0, sizeof *progress);
  memset (suspects, 0, sizeof *suspects);
}

GBytes *
fb_codec_encode_suspects (const fb_work_suspects *suspects)
{
  return encode ((xdrproc_t) xdr_fb_work_suspects, suspects, FB_CODEC_RECORD_MAX_BYTES);
}

gboolean
fb_codec_decode_suspects (const void *data, gsize len, fb_work_suspects *suspects)
{
  return decode_whole ((xdrproc_t) xdr_fb_work_suspects, data, len, sizeof *suspects, suspects);
}

GBytes *
fb_codec_encode_peer_request (const fb_peer_request *request)
{
  return encode ((xdrproc_t) xdr_fb_peer_request, request, FB_CODEC_RECORD_MAX_BYTES);
}

gboolean
fb_codec_decode_peer_request (const void *data, gsize len, fb_peer_request *request)
{
  return decode_whole ((xdrproc_t) xdr_fb_peer_request, data, len, sizeof *request, request);
}

GBytes *
fb_codec_encode_peer_reply (const fb_peer_reply *reply)
{
  return encode ((xdrproc_t) xdr_fb_peer_reply, reply, FB_CODEC_RECORD_MAX_BYTES);
}

gboolean
fb_codec_decode_peer_reply (const void *data, gsize len, fb_peer_reply *reply)
{
  return decode_whole ((xdrproc_t) xdr_fb_peer_reply, data, len, sizeof *reply, reply);
}

GBytes *
fb_codec_encode_workers (const fb_work_workers *workers)
{
  return encode ((xdrproc_t) xdr_fb_work_workers, workers, FB_CODEC_RECORD_MAX_BYTES);
}

gboolean
fb_codec_decode_workers (const void *data, gsize len, fb_work_workers *workers)
{
  return decode_whole ((xdrproc_t) xdr_fb_work_workers, data, len, sizeof *workers, workers);
}

GBytes *
fb_codec_encode_queue_service (const fb_queue_service *pair)
{
  return encode ((xdrproc_t) xdr_fb_queue_service, pair, FB_CODEC_RECORD_MAX_BYTES);
}

gboolean
fb_codec_decode_queue_service (const void *data, gsize len, fb_queue_service *pair)
{
  return decode_whole ((xdrproc_t) xdr_fb_queue_service, data, len, sizeof *pair, pair);
}

GBytes *
fb_codec_encode_stored_route (const fb_stored_route *route)
{
  return encode ((xdrproc_t) xdr_fb_stored_route, route, FB_CODEC_RECORD_MAX_BYTES);
}

gboolean
fb_codec_decode_stored_route (const void *data, gsize len, fb_stored_route *route)
{
  return decode_whole ((xdrproc_t) xdr_fb_stored_route, data, len, sizeof *route, route);
}

GBytes *
fb_codec_encode_silent_workers (const fb_work_silent_workers *workers)
{
  return encode ((xdrproc_t) xdr_fb_work_silent_workers, workers, FB_CODEC_RECORD_MAX_BYTES);
}

gboolean
fb_codec_decode_silent_workers (const void *data, gsize len, fb_work_silent_workers *workers)
{
  return decode_whole ((xdrproc_t) xdr_fb_work_silent_workers, data, len, sizeof *workers, workers);
}
