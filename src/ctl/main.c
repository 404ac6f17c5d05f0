/* sapphireshiftctl: the operators' command line. */
#include "client.h"

#include <errno.h>
#include <json-c/json.h>
#include <popt.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "explain.h"
#include "print.h"
#include "spread.h"
#include "summary.h"

enum exit_code {
	EXIT_REFUSED = 1,
	EXIT_USAGE = 2,
	EXIT_NO_LEADER = 3,
	EXIT_AUTH = 4,
	EXIT_NOT_IN_FORCE = 5,
	EXIT_NOT_FOUND = 6,
};

/* Polling interval while waiting for a switch to take effect. */
#define STATUS_POLL_MS 50

struct ctl {
	struct client client;
	bool json;
	int wait_ms;
	long long expect; /* -1: read the current version before the change */
	const char **args;
};

static json_object *object_with(const char *key, const char *value)
{
	json_object *o = json_object_new_object();

	json_object_object_add(o, key, json_object_new_string(value));
	return o;
}

static json_object *get(json_object *o, const char *key)
{
	json_object *v = NULL;

	if (o)
		json_object_object_get_ex(o, key, &v);
	return v;
}

static int report_error(json_object *body, int status)
{
	json_object *e = get(body, "error");

	if (status == 0 || !e) {
		fprintf(stderr, "sapphireshiftctl: no leader answered\n");
		return EXIT_NO_LEADER;
	}
	fprintf(stderr, "sapphireshiftctl: %s: %s",
		json_object_get_string(get(e, "type")),
		json_object_get_string(get(e, "message")));
	if (get(e, "version"))
		fprintf(stderr, " (now at version %" PRId64 ")",
			json_object_get_int64(get(e, "version")));
	fputc('\n', stderr);
	if (status == 401)
		return EXIT_AUTH;
	if (!strcmp(json_object_get_string(get(e, "type")), "not_leader"))
		return EXIT_NO_LEADER;
	return EXIT_REFUSED;
}

/* Sends a request and prints the response with fn, or as JSON. */
static int request_and_print(struct ctl *c, const char *method,
			     const char *path, json_object *body,
			     void (*fn)(json_object *response))
{
	int status;
	json_object *a =
		client_request(&c->client, method, path, body, &status);
	int rc = 0;

	json_object_put(body);
	if (status != 200)
		rc = report_error(a, status);
	else if (c->json)
		printf("%s\n", json_object_to_json_string_ext(
				       a, JSON_C_TO_STRING_PRETTY));
	else
		fn(a);
	json_object_put(a);
	return rc;
}

static char *api_path(const char *prefix, const char *name)
{
	char *escaped = g_uri_escape_string(name, ":", FALSE);
	char *path = g_strconcat(prefix, escaped, NULL);

	g_free(escaped);
	return path;
}

/*
 * Adds the version that a change is based on: the one given by --expect, or
 * else the current one. On failure returns false and sets *rc.
 */
static bool add_expected_version(struct ctl *c, json_object *body,
				 const char *path, int *rc)
{
	int64_t version = c->expect;
	json_object *a;
	int status;

	if (version < 0) {
		a = client_request(&c->client, "GET", path, NULL, &status);
		if (status != 200 && status != 404) {
			*rc = report_error(a, status);
			json_object_put(a);
			return false;
		}
		version = status == 404 ?
				  0 :
				  json_object_get_int64(get(a, "version"));
		json_object_put(a);
	}
	json_object_object_add(body, "expect", json_object_new_int64(version));
	return true;
}

static int change_preset(struct ctl *c, const char *method, const char *name,
			 json_object *body)
{
	char *path = api_path("/v1/presets/", name);
	int rc = 0;

	if (add_expected_version(c, body, path, &rc))
		rc = request_and_print(c, method, path, body, print_version);
	else
		json_object_put(body);
	g_free(path);
	return rc;
}

static json_object *read_json(const char *file)
{
	json_object *o = json_object_from_file(file);

	if (!o)
		fprintf(stderr, "sapphireshiftctl: %s: %s\n", file,
			json_util_get_last_err());
	return o;
}

static int cmd_presets_list(struct ctl *c)
{
	return request_and_print(c, "GET", "/v1/presets", NULL, print_presets);
}

static int cmd_presets_show(struct ctl *c)
{
	char *path = api_path("/v1/presets/", c->args[0]);
	int rc = request_and_print(c, "GET", path, NULL, print_preset);

	g_free(path);
	return rc;
}

static int cmd_presets_put(struct ctl *c)
{
	json_object *preset = read_json(c->args[1]);
	json_object *body;

	if (!preset)
		return EXIT_USAGE;
	body = json_object_new_object();
	json_object_object_add(body, "body", preset);
	return change_preset(c, "PUT", c->args[0], body);
}

static int cmd_presets_set(struct ctl *c)
{
	json_object *body = object_with("field", c->args[1]);
	json_object *value = json_tokener_parse(c->args[2]);

	/* A value that isn't valid JSON is taken as a string. */
	if (!value)
		value = json_object_new_string(c->args[2]);
	json_object_object_add(body, "value", value);
	return change_preset(c, "PATCH", c->args[0], body);
}

static int cmd_presets_delete(struct ctl *c)
{
	return change_preset(c, "DELETE", c->args[0], json_object_new_object());
}

static json_object *preset_body(struct ctl *c, const char *name, int *rc)
{
	char *path = api_path("/v1/presets/", name);
	int status;
	json_object *a = client_request(&c->client, "GET", path, NULL, &status);
	json_object *body = NULL;

	if (status == 200)
		body = json_object_get(get(a, "body"));
	else
		*rc = report_error(a, status);
	json_object_put(a);
	g_free(path);
	return body;
}

static int cmd_presets_diff(struct ctl *c)
{
	int rc = 0;
	json_object *a = preset_body(c, c->args[0], &rc);
	json_object *b = a ? preset_body(c, c->args[1], &rc) : NULL;

	if (a && b)
		print_diff("", a, b);
	json_object_put(a);
	json_object_put(b);
	return rc;
}

/* Returns whether all connected processes have this version or a later one. */
static bool is_in_force(json_object *status, int64_t version)
{
	json_object *list = get(status, "processes");
	size_t n = list ? json_object_array_length(list) : 0;

	for (size_t i = 0; i < n; i++) {
		json_object *p = json_object_array_get_idx(list, i);

		if (json_object_get_int64(get(p, "config")) < version)
			return false;
	}
	return true;
}

static int wait_in_force(struct ctl *c, int64_t version)
{
	struct ss_clock clock;
	int64_t start, now;
	bool done = false;

	ss_clock_init(&clock);
	start = now = ss_clock_now(&clock);
	while (!done && now - start < c->wait_ms) {
		int status;
		json_object *a = client_request(&c->client, "GET", "/v1/status",
						NULL, &status);

		done = status == 200 && is_in_force(a, version);
		now = ss_clock_now(&clock);
		if (done && !c->json)
			printf("in force on all %zu processes after %" PRId64
			       " ms\n",
			       json_object_array_length(get(a, "processes")),
			       now - start);
		json_object_put(a);
		if (!done)
			g_usleep(STATUS_POLL_MS * 1000);
	}
	if (done)
		return 0;
	fprintf(stderr, "sapphireshiftctl: not in force everywhere yet\n");
	return EXIT_NOT_IN_FORCE;
}

static int cmd_presets_switch(struct ctl *c)
{
	json_object *body = object_with("preset", c->args[0]);
	json_object *a;
	int status, rc = 0;

	if (!add_expected_version(c, body, "/v1/presets", &rc)) {
		json_object_put(body);
		return rc;
	}
	a = client_request(&c->client, "POST", "/v1/switch", body, &status);
	json_object_put(body);
	if (status != 200) {
		rc = report_error(a, status);
	} else {
		if (c->json)
			printf("%s\n", json_object_to_json_string(a));
		else
			print_version(a);
		if (c->wait_ms)
			rc = wait_in_force(
				c, json_object_get_int64(get(a, "version")));
	}
	json_object_put(a);
	return rc;
}

static int cmd_presets_history(struct ctl *c)
{
	return request_and_print(c, "GET", "/v1/history", NULL, print_history);
}

static int cmd_status(struct ctl *c)
{
	return request_and_print(c, "GET", "/v1/status", NULL, print_status);
}

static int cmd_customers(struct ctl *c)
{
	return request_and_print(c, "GET", "/v1/status", NULL, print_customers);
}

static int cmd_quarantines_list(struct ctl *c)
{
	return request_and_print(c, "GET", "/v1/status", NULL,
				 print_quarantines);
}

static int cmd_quarantines_lift(struct ctl *c)
{
	char *path = api_path("/v1/quarantines/", c->args[0]);
	int rc = request_and_print(c, "DELETE", path, NULL, print_version);

	g_free(path);
	return rc;
}

static int cmd_why(struct ctl *c)
{
	char *path = api_path("/v1/why/", c->args[0]);
	int rc = request_and_print(c, "GET", path, NULL, print_why);

	g_free(path);
	return rc;
}

static int cmd_models_list(struct ctl *c)
{
	return request_and_print(c, "GET", "/v1/models", NULL, print_models);
}

static int cmd_models_put(struct ctl *c)
{
	json_object *body = read_json(c->args[0]);

	if (!body)
		return EXIT_USAGE;
	return request_and_print(c, "PUT", "/v1/models", body, print_version);
}

static int node_action(struct ctl *c, const char *verb)
{
	char *name = api_path("/v1/nodes/", c->args[0]);
	char *path = g_strconcat(name, "/", verb, NULL);
	int rc = request_and_print(c, "POST", path, json_object_new_object(),
				   print_version);

	g_free(name);
	g_free(path);
	return rc;
}

static int cmd_node_drain(struct ctl *c)
{
	return node_action(c, "drain");
}

static int cmd_node_undrain(struct ctl *c)
{
	return node_action(c, "undrain");
}

static int cmd_node_forget(struct ctl *c)
{
	return node_action(c, "forget");
}

static int cmd_members_list(struct ctl *c)
{
	return request_and_print(c, "GET", "/v1/members", NULL, print_members);
}

static int cmd_members_remove(struct ctl *c)
{
	char *path = api_path("/v1/members/", c->args[0]);
	int rc = request_and_print(c, "DELETE", path, NULL, print_version);

	g_free(path);
	return rc;
}

/* Calls fn for each line of a log file. */
static bool read_log(const char *path, void *arg,
		     void (*fn)(void *arg, const char *line))
{
	FILE *f = fopen(path, "r");
	size_t capacity = 0;
	char *line = NULL;
	bool ok;

	if (!f) {
		fprintf(stderr, "sapphireshiftctl: %s: %s\n", path,
			g_strerror(errno));
		return false;
	}
	while (getline(&line, &capacity, f) >= 0)
		fn(arg, line);
	ok = !ferror(f);
	if (!ok)
		fprintf(stderr, "sapphireshiftctl: %s: it can't be read\n",
			path);
	free(line);
	fclose(f);
	return ok;
}

static bool read_logs(const char **paths, void *arg,
		      void (*fn)(void *arg, const char *line))
{
	for (; *paths; paths++)
		if (!read_log(*paths, arg, fn))
			return false;
	return true;
}

static void scan_line(void *arg, const char *line)
{
	explain_scan(arg, line);
}

static void collect_line(void *arg, const char *line)
{
	explain_collect(arg, line);
}

static void add_summary_line(void *arg, const char *line)
{
	summary_add(arg, line);
}

static void add_spread_line(void *arg, const char *line)
{
	spread_add(arg, line);
}

static int cmd_explain(struct ctl *c)
{
	struct explain *e = explain_new(c->args[0]);
	int rc = EXIT_REFUSED;
	char *timeline;

	if (read_logs(c->args + 1, e, scan_line) &&
	    read_logs(c->args + 1, e, collect_line)) {
		rc = explain_found(e) ? 0 : EXIT_NOT_FOUND;
		if (rc)
			fprintf(stderr,
				"sapphireshiftctl: no line of these logs "
				"bears the request %s\n",
				c->args[0]);
		timeline = explain_format(e, c->json);
		fputs(timeline, stdout);
		g_free(timeline);
	}
	explain_free(e);
	return rc;
}

/* Prints and frees a report; NULL means that the logs couldn't be read. */
static int print_report(char *text)
{
	if (!text)
		return EXIT_REFUSED;
	fputs(text, stdout);
	g_free(text);
	return 0;
}

static int cmd_losses(struct ctl *c)
{
	struct summary *s = summary_new();
	bool read = read_logs(c->args, s, add_summary_line);
	int rc = print_report(read ? summary_format(s) : NULL);

	summary_free(s);
	return rc;
}

static int cmd_spread(struct ctl *c)
{
	struct spread *s = spread_new();
	bool read = read_logs(c->args, s, add_spread_line);
	int rc = print_report(read ? spread_format(s) : NULL);

	spread_free(s);
	return rc;
}

static const struct {
	const char *group, *verb;
	int n_args; /* exact, or the minimum if variadic */
	const char *usage;
	int (*fn)(struct ctl *c);
	bool variadic;
} commands[] = {
	{ "presets", "list", 0, "", cmd_presets_list, false },
	{ "presets", "show", 1, "NAME", cmd_presets_show, false },
	{ "presets", "put", 2, "NAME FILE", cmd_presets_put, false },
	{ "presets", "set", 3, "NAME FIELD VALUE", cmd_presets_set, false },
	{ "presets", "diff", 2, "NAME NAME", cmd_presets_diff, false },
	{ "presets", "delete", 1, "NAME", cmd_presets_delete, false },
	{ "presets", "switch", 1, "NAME", cmd_presets_switch, false },
	{ "presets", "history", 0, "", cmd_presets_history, false },
	{ "models", "list", 0, "", cmd_models_list, false },
	{ "models", "put", 1, "FILE", cmd_models_put, false },
	{ "node", "drain", 1, "NAME", cmd_node_drain, false },
	{ "node", "undrain", 1, "NAME", cmd_node_undrain, false },
	{ "node", "forget", 1, "NAME", cmd_node_forget, false },
	{ "members", "list", 0, "", cmd_members_list, false },
	{ "members", "remove", 1, "ID", cmd_members_remove, false },
	{ "status", NULL, 0, "", cmd_status, false },
	{ "customers", NULL, 0, "", cmd_customers, false },
	{ "quarantines", "list", 0, "", cmd_quarantines_list, false },
	{ "quarantines", "lift", 1, "PRINT", cmd_quarantines_lift, false },
	{ "why", NULL, 1, "MODEL", cmd_why, false },
	{ "explain", NULL, 2, "REQUEST LOG...", cmd_explain, true },
	{ "losses", NULL, 1, "LOG...", cmd_losses, true },
	{ "spread", NULL, 1, "LOG...", cmd_spread, true },
};

static int usage(void)
{
	fprintf(stderr, "sapphireshiftctl: one of these is needed:\n");
	for (size_t i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(stderr, "  %s %s %s\n", commands[i].group,
			commands[i].verb ? commands[i].verb : "",
			commands[i].usage);
	return EXIT_USAGE;
}

static int run(struct ctl *c, const char **args)
{
	int n = 0;

	while (args && args[n])
		n++;
	for (size_t i = 0; n && i < G_N_ELEMENTS(commands); i++) {
		int skip = commands[i].verb ? 2 : 1;

		if (strcmp(commands[i].group, args[0]) || n < skip)
			continue;
		if (commands[i].verb && strcmp(commands[i].verb, args[1]))
			continue;
		if (n < skip + commands[i].n_args ||
		    (n > skip + commands[i].n_args && !commands[i].variadic))
			return usage();
		c->args = args + skip;
		return commands[i].fn(c);
	}
	return usage();
}

/* Reads the token; NULL without a file, and requests then carry no token. */
static char *read_token(const char *file)
{
	char *text = NULL;

	if (!file || !*file || !g_file_get_contents(file, &text, NULL, NULL))
		return NULL;
	text[strcspn(text, "\r\n")] = 0;
	return text;
}

int main(int argc, const char **argv)
{
	const char *operators = getenv("SAPPHIRESHIFT_OPERATOR");
	const char *token_file = getenv("SAPPHIRESHIFT_TOKEN_FILE");
	const char *change_id = NULL, *author = getenv("USER");
	int json = 0, version = 0, timeout_ms = 10000;
	struct ctl c = { .expect = -1 };
	struct poptOption options[] = {
		{ "operator", 'o', POPT_ARG_STRING, &operators, 0,
		  "operators' addresses of the control VMs, separated by "
		  "commas; else $SAPPHIRESHIFT_OPERATOR",
		  "IP:PORT,..." },
		{ "token-file", 't', POPT_ARG_STRING, &token_file, 0,
		  "file with the token; else $SAPPHIRESHIFT_TOKEN_FILE",
		  "FILE" },
		{ "json", 'j', POPT_ARG_NONE, &json, 0, "print JSON", NULL },
		{ "expect", 'e', POPT_ARG_LONGLONG, &c.expect, 0,
		  "version that the change is based on", "VERSION" },
		{ "change-id", 0, POPT_ARG_STRING, &change_id, 0,
		  "id of the change, to send it again safely", "ID" },
		{ "author", 0, POPT_ARG_STRING, &author, 0,
		  "who makes the change", "NAME" },
		{ "wait-ms", 'w', POPT_ARG_INT, &c.wait_ms, 0,
		  "after a switch, wait until it is in force everywhere",
		  "MS" },
		{ "timeout-ms", 0, POPT_ARG_INT, &timeout_ms, 0,
		  "give up without a leader's answer after this time", "MS" },
		{ "version", 'V', POPT_ARG_NONE, &version, 0,
		  "print the version and exit", NULL },
		POPT_AUTOHELP POPT_TABLEEND
	};
	poptContext ctx =
		poptGetContext("sapphireshiftctl", argc, argv, options, 0);
	int rc;

	poptSetOtherOptionHelp(ctx, "[OPTION...] COMMAND [ARGUMENT...]");
	rc = poptGetNextOpt(ctx);
	if (version) {
		printf("sapphireshiftctl %s\n", SS_VERSION);
		return 0;
	}
	if (rc < -1) {
		fprintf(stderr, "sapphireshiftctl: %s: %s\n",
			poptBadOption(ctx, 0), poptStrerror(rc));
		return EXIT_USAGE;
	}
	c.json = json;
	c.client.addrs =
		g_strsplit(operators ? operators : "127.0.0.1:7300", ",", -1);
	c.client.token = read_token(token_file);
	c.client.timeout_ms = timeout_ms;
	c.client.author = g_strdup(author ? author : "");
	c.client.change_id =
		change_id ? g_strdup(change_id) :
			    g_strdup_printf("%016" PRIx64, ss_unique_id());
	rc = run(&c, poptGetArgs(ctx));
	poptFreeContext(ctx);
	g_strfreev(c.client.addrs);
	g_free(c.client.token);
	g_free(c.client.author);
	g_free(c.client.change_id);
	return rc;
}
