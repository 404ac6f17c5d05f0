/*
 * One fuzz target, by the first byte: frames, settings and presets,
 * commands and snapshots of the state, members, and log files.
 */
#include "../../src/config/config.h"
#include "../../src/core/preset.h"
#include "../../src/core/state.h"
#include "../../src/disk/disk.h"
#include "../../src/node/frame.h"

#include <stdlib.h>
#include <unistd.h>

static void fuzz_frame(const uint8_t *p, size_t n)
{
	struct frame f;
	size_t len = frame_length(p, n, NULL);

	if (len == 0 || len > n || !frame_decode(p, len, &f, NULL))
		return;
	GString *again = g_string_new(NULL);

	frame_add(again, f.kind, &f.u);
	g_string_free(again, TRUE);
	frame_done(&f);
}

static void fuzz_settings(struct ss_str text)
{
	struct config c;
	struct preset p;
	struct config_models m;

	if (settings_parse(&config_type, &c, "f", text, NULL))
		config_clear(&c);
	if (preset_parse(&p, "f", text, NULL))
		preset_clear(&p);
	if (config_models_parse(&m, "f", text, NULL))
		config_models_clear(&m);
}

static void fuzz_state(struct ss_str bytes)
{
	struct ss_state *s = ss_state_new();
	struct command_result r;

	if (ss_state_restore(s, bytes))
		g_string_free(ss_state_snapshot(s), TRUE);
	ss_state_apply(s, 1, bytes, &r);
	ss_state_apply(s, 2, bytes, &r);
	ss_state_free(s);
}

static void fuzz_members(struct ss_str bytes)
{
	struct ss_raft_members m;

	if (ss_raft_decode_members(bytes, &m))
		ss_raft_clear_members(&m);
}

static void fuzz_disk(const char *name, struct ss_str bytes)
{
	static char folder[] = "/tmp/ss-fuzz-XXXXXX";
	static bool made;
	struct disk_options o = { .folder = folder };
	struct disk_state s;
	char *path;

	if (!made) {
		if (!mkdtemp(folder))
			abort();
		made = true;
	}
	path = g_build_filename(folder, name, NULL);
	g_file_set_contents(path, bytes.p, (gssize)bytes.n, NULL);
	disk_close(disk_open(&o, &s, NULL));
	unlink(path);
	g_free(path);
}

int LLVMFuzzerTestOneInput(const uint8_t *p, size_t n);

int LLVMFuzzerTestOneInput(const uint8_t *p, size_t n)
{
	struct ss_str rest;

	if (n < 1)
		return 0;
	rest = (struct ss_str){ (const char *)p + 1, n - 1 };
	switch (p[0] % 8) {
	case 0:
	case 1:
		fuzz_frame(p + 1, n - 1);
		break;
	case 2:
	case 3:
		fuzz_settings(rest);
		break;
	case 4:
	case 5:
		fuzz_state(rest);
		break;
	case 6:
		fuzz_members(rest);
		break;
	case 7:
		fuzz_disk(p[0] & 8 ? "snapshot" : "log", rest);
		break;
	}
	return 0;
}
