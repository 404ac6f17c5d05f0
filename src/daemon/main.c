/* sapphireshiftd: runs one process of the system in the role that its settings
 * name. */
#include "daemon.h"

#include "../base/timeval.h"

#include <event2/event.h>
#include <popt.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

#include "bootstrap.h"

/* Interval in ms of checking the settings file, which may change without a
 * signal; a check is cheap. */
#define SETTINGS_CHECK_MS 1000
/* Maximum size of a request's body at the status address; none is used. */
#define STATUS_MAX_BODY_BYTES 4096

/* Roles of a system whose endpoints are called through agents. */
static const struct role_ops *const roles[] = {
	[CONFIG_ENTRY] = &entry_role,
	[CONFIG_AGENT] = &agent_role,
	[CONFIG_CONTROL] = &control_role,
};
/* Roles of a fleet whose entries call endpoints directly. */
static const struct role_ops *const fleet_roles[] = {
	[CONFIG_ENTRY] = &fleet_entry_role,
	[CONFIG_AGENT] = &fleet_agent_role,
	[CONFIG_CONTROL] = &control_role,
};

static const struct role_ops *role_of(const struct config *c)
{
	if (!c->fleet.on)
		return roles[c->role];
	if (c->role == CONFIG_CONTROL && !*c->ctl.data)
		return &relay_role;
	return fleet_roles[c->role];
}

struct process {
	struct daemon d;
	const struct role_ops *ops;
	void *role;
	struct http_server *status;
	const char *file;      /* settings file */
	struct stat file_stat; /* of the settings file when it was last read */
	bool stopping;
};

void daemon_exit(struct daemon *d, int code)
{
	d->exit_code = code;
	event_base_loopbreak(d->base);
}

struct conn_options daemon_conn_options(struct daemon *d,
					const struct conn_ops *ops, void *arg)
{
	bool fast = d->config.fleet.on;

	return (struct conn_options){ .base = d->base,
				      .clock = &d->clock,
				      .self = &d->hello,
				      .ops = ops,
				      .arg = arg,
				      .ping_ms = fast ? CONN_FAST_PING_MS : 0,
				      .silent_ms = fast ? CONN_FAST_SILENT_MS :
							  0,
				      .bytes_out = d->bytes_out,
				      .bytes_in = d->bytes_in };
}

struct event *daemon_every(struct daemon *d, int64_t ms, event_callback_fn fn,
			   void *arg)
{
	struct timeval tv = timeval_from_ms(ms);
	struct event *ev = event_new(d->base, -1, EV_PERSIST, fn, arg);

	event_add(ev, &tv);
	return ev;
}

char *daemon_advertised_addr(const struct daemon *d, const struct listener *l)
{
	char *ip = NULL, *addr;
	uint16_t port;

	if (*d->config.advertise)
		return g_strdup(d->config.advertise);
	if (!http_split_addr(d->config.listen, &ip, &port))
		return g_strdup(d->config.listen);
	addr = g_strdup_printf(strchr(ip, ':') ? "[%s]:%u" : "%s:%u", ip,
			       conn_listener_port(l));
	g_free(ip);
	return addr;
}

void daemon_update_process_metrics(struct daemon *d)
{
	struct rusage u;
	FILE *f = fopen("/proc/self/statm", "r");
	unsigned long size, resident = 0;

	getrusage(RUSAGE_SELF, &u);
	*metrics_value(d->metrics, "ss_process_cpu_ms_total", "") =
		(uint64_t)(u.ru_utime.tv_sec + u.ru_stime.tv_sec) * 1000 +
		(uint64_t)(u.ru_utime.tv_usec + u.ru_stime.tv_usec) / 1000;
	if (!f)
		return;
	if (fscanf(f, "%lu %lu", &size, &resident) == 2)
		*metrics_value(d->metrics, "ss_process_resident_bytes", "") =
			resident * (unsigned long)sysconf(_SC_PAGESIZE);
	fclose(f);
}

void daemon_metrics_text(struct daemon *d, GString *out)
{
	daemon_update_process_metrics(d);
	metrics_print(d->metrics, out);
}

bool daemon_status_request(struct daemon *d, struct evhttp_request *req,
			   bool ready)
{
	const char *path =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	GString *s;

	if (!strcmp(path, "/healthz")) {
		http_reply(req, 200, "text/plain", SS_LIT("ok\n"));
	} else if (!strcmp(path, "/readyz")) {
		http_reply(req, ready ? 200 : 503, "text/plain",
			   ready ? SS_LIT("ready\n") : SS_LIT("not ready\n"));
	} else if (!strcmp(path, "/metrics")) {
		s = g_string_new(NULL);
		daemon_metrics_text(d, s);
		http_reply(req, 200, "text/plain; version=0.0.4", ss_str_gs(s));
		g_string_free(s, TRUE);
	} else {
		return false;
	}
	return true;
}

static void on_status(void *arg, struct evhttp_request *req)
{
	struct process *r = arg;
	bool ready = !r->stopping && r->ops->ready(r->role);

	if (daemon_status_request(&r->d, req, ready))
		return;
	http_reply(req, 404, "text/plain", SS_LIT("not found\n"));
}

static void on_signal(evutil_socket_t sig, short what, void *arg)
{
	struct process *r = arg;

	(void)what;
	/*
	 * A second SIGINT, from a user at the terminal, exits at once. A second
	 * SIGTERM may come from a supervisor that repeats it, and must not cut
	 * the answers that the planned stop lets finish.
	 */
	if (r->stopping) {
		log_info("stop", "asked again, signal=%d", (int)sig);
		if (sig == SIGINT)
			daemon_exit(&r->d, 0);
		return;
	}
	r->stopping = true;
	log_info("stop", "planned stop begins");
	r->ops->stop(r->role);
}

/*
 * Reads the settings again. Only the addresses of the control VMs, which are
 * replaced over time, change in a running process; all else needs a restart. A
 * file that can't be used changes nothing.
 */
static void reload(struct process *r)
{
	struct config new;
	GPtrArray *addrs = r->d.config.control;
	GError *error = NULL;

	stat(r->file, &r->file_stat);
	if (!config_load(&new, r->file, &error)) {
		log_error("reload_failed", "why=\"%s\"", error->message);
		g_error_free(error);
		return;
	}
	g_ptr_array_set_size(addrs, 0);
	for (guint i = 0; i < new.control->len; i++)
		g_ptr_array_add(addrs, g_strdup(new.control->pdata[i]));
	log_info("reload", "control=%u", addrs->len);
	config_clear(&new);
}

static void on_hangup(evutil_socket_t sig, short what, void *arg)
{
	(void)sig;
	(void)what;
	reload(arg);
}

static void on_settings_timer(evutil_socket_t fd, short what, void *arg)
{
	struct process *r = arg;
	struct stat now;

	(void)fd;
	(void)what;
	if (stat(r->file, &now))
		return;
	if (now.st_mtim.tv_sec != r->file_stat.st_mtim.tv_sec ||
	    now.st_mtim.tv_nsec != r->file_stat.st_mtim.tv_nsec ||
	    now.st_size != r->file_stat.st_size)
		reload(r);
}

static bool start(struct process *r, GError **error)
{
	struct daemon *d = &r->d;
	struct http_server_options status = { .base = d->base,
					      .addr = d->config.status_listen,
					      .max_body = STATUS_MAX_BODY_BYTES,
					      .handle = on_status,
					      .arg = r };

	d->hello = (struct msg_hello){ .version = CONN_PROTOCOL,
				       .role = d->config.role + 1,
				       .name = ss_str(d->config.name),
				       .domain = ss_str(d->config.domain),
				       .incarnation = ss_unique_id() };
	d->seed = d->hello.incarnation;
	d->bytes_out =
		metrics_value(d->metrics, "ss_own_bytes_total", "way=\"out\"");
	d->bytes_in =
		metrics_value(d->metrics, "ss_own_bytes_total", "way=\"in\"");
	r->ops = role_of(&d->config);
	r->role = r->ops->start(d, error);
	if (!r->role)
		return false;
	if (!*d->config.status_listen)
		return true;
	r->status = http_server_new(&status, error);
	return r->status != NULL;
}

static int run(struct process *r)
{
	struct daemon *d = &r->d;
	struct event *term, *intr, *hup, *settings_timer;
	GError *error = NULL;

	signal(SIGPIPE, SIG_IGN);
	ss_clock_init(&d->clock);
	d->metrics = metrics_new();
	d->base = event_base_new();
	log_open(d->config.name, d->config.log_level);
	term = evsignal_new(d->base, SIGTERM, on_signal, r);
	intr = evsignal_new(d->base, SIGINT, on_signal, r);
	hup = evsignal_new(d->base, SIGHUP, on_hangup, r);
	settings_timer =
		daemon_every(d, SETTINGS_CHECK_MS, on_settings_timer, r);
	event_add(term, NULL);
	event_add(intr, NULL);
	event_add(hup, NULL);
	if (start(r, &error)) {
		log_info("start", "role=%s version=%s incarnation=%" PRIx64,
			 r->ops->name, SS_VERSION, d->hello.incarnation);
		event_base_dispatch(d->base);
		log_info("exit", "code=%d", d->exit_code);
	} else {
		log_error("start_failed", "type=%s why=\"%s\"",
			  ss_error_name((enum ss_error)error->code),
			  error->message);
		fprintf(stderr, "sapphireshiftd: %s\n", error->message);
		g_error_free(error);
		d->exit_code = DAEMON_EXIT_START;
	}
	if (r->role)
		r->ops->free(r->role);
	http_server_free(r->status);
	event_free(term);
	event_free(intr);
	event_free(hup);
	event_free(settings_timer);
	event_base_free(d->base);
	metrics_free(d->metrics);
	log_close();
	return d->exit_code;
}

int main(int argc, const char **argv)
{
	int check = 0, version = 0, bootstrap = 0;
	struct poptOption options[] = {
		{ "check", 'c', POPT_ARG_NONE, &check, 0,
		  "check the settings and exit", NULL },
		{ "bootstrap", 'b', POPT_ARG_NONE, &bootstrap, 0,
		  "make a new control group in an empty data folder and exit",
		  NULL },
		{ "version", 'V', POPT_ARG_NONE, &version, 0,
		  "print the version and exit", NULL },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext ctx =
		poptGetContext("sapphireshiftd", argc, argv, options, 0);
	struct process r = { 0 };
	GError *error = NULL;
	const char *file;
	int rc;

	poptSetOtherOptionHelp(ctx, "[OPTION...] SETTINGS");
	rc = poptGetNextOpt(ctx);
	file = poptGetArg(ctx);
	if (version) {
		printf("sapphireshiftd %s\n", SS_VERSION);
		return 0;
	}
	if (rc < -1 || !file || poptPeekArg(ctx)) {
		fprintf(stderr, "sapphireshiftd: %s; see --help\n",
			rc < -1 ? poptStrerror(rc) :
				  "one settings file is needed");
		return DAEMON_EXIT_SETTINGS;
	}
	if (!config_load(&r.d.config, file, &error)) {
		fprintf(stderr, "%s\n", error->message);
		g_error_free(error);
		return DAEMON_EXIT_SETTINGS;
	}
	/* The arguments are valid as long as the popt context. */
	r.file = file;
	stat(file, &r.file_stat);
	if (check)
		printf("%s: ok\n", r.d.config.name);
	else if (bootstrap)
		rc = bootstrap_group(&r.d.config, &error) ? 0 :
							    DAEMON_EXIT_START;
	if (error) {
		fprintf(stderr, "sapphireshiftd: %s\n", error->message);
		g_error_free(error);
	}
	rc = check ? 0 : bootstrap ? rc : run(&r);
	config_clear(&r.d.config);
	poptFreeContext(ctx);
	return rc;
}
