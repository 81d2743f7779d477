/* Encoding and decoding of messages and records as XDR, with size limits. */
#pragma once

#include "fb-types.h"
#include "rpc/record.h"
#include "rpc/work.h"

/* Size of the largest record or message, which none of the platform exceeds. */
#define FB_CODEC_RECORD_MAX_BYTES (4 * 1024 * 1024)

/* Returns: (transfer full): MSG encoded, or NULL if it exceeds a limit. */
GBytes *fb_codec_encode_msg (const fb_msg *msg);
/* Decodes one message at *OFFSET of DATA and advances *OFFSET past it. Returns: FALSE if
 * the input is malformed; otherwise MSG is to be cleared with fb_codec_clear_msg(). */
gboolean fb_codec_decode_msg (const void *data, gsize len, gsize *offset, fb_msg *msg);
void fb_codec_clear_msg (fb_msg *msg);

GBytes *fb_codec_encode_record (const fb_record *record);
gboolean fb_codec_decode_record (const void *data, gsize len, fb_record *record);
void fb_codec_clear_record (fb_record *record);

GBytes *fb_codec_encode_revision (const fb_rec_revision *revision);
gboolean fb_codec_decode_revision (const void *data, gsize len, fb_rec_revision *revision);
void fb_codec_clear_revision (fb_rec_revision *revision);

/* Graph jobs: records of the platform's log, and requests and responses between daemons.
 * Encoding returns NULL when the value exceeds a limit, which never stands for an empty value.
 * Decoded values are cleared with xdr_free() of their type. */
GBytes *fb_codec_encode_admit (const fb_work_admit *admit);
gboolean fb_codec_decode_admit (const void *data, gsize len, fb_work_admit *admit);
/* The record of a job's progress, and of those of its tasks under which workers crashed. */
GBytes *fb_codec_encode_progress (const fb_work_progress *progress,
                                  const fb_work_suspects *suspects);
/* A failed decode leaves nothing allocated. */
gboolean fb_codec_decode_progress (const void *data, gsize len, fb_work_progress *progress,
                                   fb_work_suspects *suspects);
void fb_codec_clear_progress (fb_work_progress *progress, fb_work_suspects *suspects);
GBytes *fb_codec_encode_suspects (const fb_work_suspects *suspects);
gboolean fb_codec_decode_suspects (const void *data, gsize len, fb_work_suspects *suspects);
GBytes *fb_codec_encode_workers (const fb_work_workers *workers);
gboolean fb_codec_decode_workers (const void *data, gsize len, fb_work_workers *workers);
GBytes *fb_codec_encode_queue_service (const fb_queue_service *pair);
gboolean fb_codec_decode_queue_service (const void *data, gsize len, fb_queue_service *pair);
GBytes *fb_codec_encode_stored_route (const fb_stored_route *route);
gboolean fb_codec_decode_stored_route (const void *data, gsize len, fb_stored_route *route);
GBytes *fb_codec_encode_silent_workers (const fb_work_silent_workers *workers);
gboolean fb_codec_decode_silent_workers (const void *data, gsize len,
                                         fb_work_silent_workers *workers);
GBytes *fb_codec_encode_peer_request (const fb_peer_request *request);
gboolean fb_codec_decode_peer_request (const void *data, gsize len, fb_peer_request *request);
GBytes *fb_codec_encode_peer_reply (const fb_peer_reply *reply);
gboolean fb_codec_decode_peer_reply (const void *data, gsize len, fb_peer_reply *reply);
