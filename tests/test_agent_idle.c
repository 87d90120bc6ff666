#include "lib_agent.h"
#include "util.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* Limits of the control overhead of a node, docs/design.md section 1.4. */
#define CPU_PERCENT_MAX 1.4
#define MEMORY_MB_MAX 128
#define CONTROL_BYTES_PER_S_MAX 3000

#define WARM_UP_MS 2000	 /* start of the process and first announcements */
#define MEASURE_MS 12000 /* covers the change to the long heartbeat period */
#define WAIT_MS 20000

struct usage {
	uint64_t at_ms;
	double cpu_s;
	uint64_t control_bytes;
};

static struct agent_rig rig;

static bool clock_passed(struct agent_rig *r, void *ctx)
{
	return util_clock_ms() > *(const uint64_t *)ctx;
}

static void run_for(uint64_t ms)
{
	uint64_t end = util_clock_ms() + ms;

	CU_ASSERT(rig_run_until(&rig, clock_passed, &end, WAIT_MS));
}

static double cpu_seconds(void)
{
	char path[64];
	char line[1024] = "";
	unsigned long user = 0;
	unsigned long system = 0;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/stat", (int)rig.agent.pid);
	file = fopen(path, "r");
	if (file && fgets(line, sizeof(line), file))
		sscanf(strrchr(line, ')'), ") %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu",
		       &user, &system);
	if (file)
		fclose(file);
	return (double)(user + system) / (double)sysconf(_SC_CLK_TCK);
}

static uint64_t memory_mb(void)
{
	char path[64];
	char line[256];
	uint64_t kb = 0;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)rig.agent.pid);
	file = fopen(path, "r");
	while (file && fgets(line, sizeof(line), file)) {
		if (!strncmp(line, "VmRSS:", 6))
			kb = strtoull(line + 6, NULL, 10);
	}
	if (file)
		fclose(file);
	return kb / 1024;
}

static uint64_t control_bytes(void)
{
	char url[128];
	struct http_reply reply;
	uint64_t sum = 0;

	snprintf(url, sizeof(url), "http://%s/metrics", rig.agent.address[0]);
	reply = http_call("GET", url, NULL, NULL, WAIT_MS);
	CU_ASSERT_EQUAL(reply.status, 200);
	for (const char *at = reply.body; at && (at = strstr(at, "\njaycourse_wire_bytes_total{"));
	     at++) {
		if (strstr(at, "class=\"control\"") < strchr(at + 1, '\n'))
			sum += strtoull(strchr(at, '}') + 1, NULL, 10);
	}
	http_reply_free(&reply);
	return sum;
}

static struct usage read_usage(void)
{
	return (struct usage){util_clock_ms(), cpu_seconds(), control_bytes()};
}

static void measure(unsigned int entries)
{
	struct usage before;
	struct usage after;
	double seconds;
	double cpu_percent;
	double bytes_per_s;

	rig_start(&rig, entries);
	rig_start_service(&rig, "8");
	run_for(WARM_UP_MS);
	before = read_usage();
	run_for(MEASURE_MS);
	after = read_usage();
	seconds = (double)(after.at_ms - before.at_ms) / 1000.0;
	cpu_percent = (after.cpu_s - before.cpu_s) / seconds * 100.0;
	bytes_per_s = (double)(after.control_bytes - before.control_bytes) / seconds;
	printf("entries=%u cpu_percent=%.2f rss_mb=%llu control_bytes_per_s=%.0f\n", entries,
	       cpu_percent, (unsigned long long)memory_mb(), bytes_per_s);
	CU_ASSERT(cpu_percent <= CPU_PERCENT_MAX);
	CU_ASSERT(memory_mb() <= MEMORY_MB_MAX);
	CU_ASSERT(bytes_per_s > 0 && bytes_per_s <= CONTROL_BYTES_PER_S_MAX);
	rig_stop(&rig);
}

/* Guards against an idle agent that exceeds its limits of CPU time, memory or control traffic. */
static void test_one_entry(void)
{
	measure(1);
}

static void test_two_entries(void)
{
	measure(2);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("agent_idle", NULL, NULL);
	CU_add_test(suite, "one_entry", test_one_entry);
	CU_add_test(suite, "two_entries", test_two_entries);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
