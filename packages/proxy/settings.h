/* Settings of one proxy on the HTTP path, from a YAML file.
   docs/OPERATORS.md lists them.  */
#ifndef CB_SETTINGS_H
#define CB_SETTINGS_H

#include "wire.h"

#define SETTINGS_SEEDS_MAX 64
#define SETTINGS_ENDPOINTS_MAX 8

/* A proxy that is contacted at the start; the others are found by
   heartbeats.  */
struct settings_seed
{
  struct wire_vm vm;
};

/* Each member is named after the section and the key it is read from; names of
   sizes, times and limits include the unit.  Owns its strings; those of
   settings that are absent and have no default are NULL.  */
struct settings
{
  char *vm;
  char *data_centre;
  char *region;
  char *callers_listen;
  char *callers_tls_file;
  char *callers_client_ca_file;
  char *callers_access_file;
  int64_t callers_threads;
  int64_t callers_body_max_bytes;
  int64_t callers_idle_ms;
  int64_t callers_read_ms;
  int64_t callers_requests_max;
  char *operators_listen;
  char *peers_listen;
  char *peers_public_key_file;
  char *peers_secret_key_file;
  char *store_ca_file;
  char *store_token_file;
  int64_t store_timeout_ms;
  int64_t store_reconcile_ms;
  char *upstream_user;
  char *upstream_database;
  char *upstream_password_file;
  char *upstream_sslmode;
  int64_t upstream_status_interval_ms;
  int64_t upstream_probe_timeout_ms;
  int64_t upstream_silence_ms;
  int64_t upstream_queue_max;
  int64_t upstream_rows_max;
  int64_t upstream_answer_max_bytes;
  int64_t upstream_transaction_idle_ms;
  int64_t upstream_transaction_max_ms;
  char *session_key_file;
  int64_t shutdown_notice_ms;
  int64_t shutdown_drain_ms;
  int32_t log_format; /* 0 text, 1 json */
  int32_t log_level;  /* 0 warning, 1 message, 2 info, 3 debug */
  int32_t experiment; /* 0 none; see enum settings_experiment */
  char *record_file;
  int64_t peer_delay_ms; /* for tests: delay added to messages to other data
                            centres */
  uint32_t n_seeds;
  struct settings_seed seeds[SETTINGS_SEEDS_MAX];
  char *endpoints[SETTINGS_ENDPOINTS_MAX + 1]; /* of the store */
};

/* Baselines to measure against; not for production.  */
enum settings_experiment
{
  EXPERIMENT_NONE,
  EXPERIMENT_READS_PRIMARY,
  EXPERIMENT_ROUND_ROBIN,
  EXPERIMENT_NO_ADMISSION,
  EXPERIMENT_UNLIMITED_RETRIES,
  EXPERIMENT_ACK_PRIMARY
};

/* Parses TEXT; FILE is its name in the findings.  Returns NULL and adds to
   FINDINGS when a setting is invalid.  Freed with settings_free.  */
struct settings *settings_parse (const char *file, const char *text,
                                 size_t len, struct fnd_list *findings);
void settings_free (struct settings *s);

#endif
