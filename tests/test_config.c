#include "config.h"
#include "util.h"

#include <CUnit/Basic.h>
#include <stdio.h>
#include <string.h>

#define HASH \
	"$y$j75$zNBNqXognHkaUPXpeRWOG/$KJ3XANpvyihOUUh8RJEBGKZFaSOndvqfWAsjf0ORRW9" /* "token" */
#define FLEET                                                                                    \
	"{\"decision\":\"fleet\",\"name\":\"f\",\"racks\":[{\"zone\":\"naxos\",\"rack\":\"r1\"," \
	"\"workers\":2,\"accelerators\":8,\"cores\":128,\"memory_gb\":512}]}"
#define ORG(more) "{\"decision\":\"organisation\",\"name\":\"o\"" more "}"
#define CLASS(more) "{\"decision\":\"class\",\"name\":\"c\"" more "}"
#define FUZZ_ROUNDS 3000

struct file {
	const char *name;
	const char *text;
};

struct parse_case {
	struct file files[3];
	const char *problems[4]; /* "file:line: field: start of the message"; none: the files are
				    accepted */
};

static const struct parse_case parse_cases[] = {
	{{{"a.json", FLEET},
	  {"b.json", ORG(",\"guarantees\":[{\"members\":2,\"accelerators\":8}]")}},
	 {NULL}},
	{{{"a.json", ORG("\n,\"qota\":{}")}}, {"a.json:2: qota: is not a known field"}},
	{{{"a.json", ORG(",\n\"quota\":{\n\"jobs\":-1,\n\"acelerators\":1}")}},
	 {"a.json:3: quota.jobs: it is outside", "a.json:4: quota.acelerators: is not a known"}},
	{{{"a.json", ORG(",\n\"guarantees\":[{\"members\":1,\"accelerators\":1},\n"
			 "{\"members\":0,\"accelerators\":65}]")}},
	 {"a.json:3: guarantees[1].members: it is outside",
	  "a.json:3: guarantees[1].accelerators: it is outside"}},
	{{{"a.json", ORG(",\"guarantees\":[{\"members\":1}]")}},
	 {"a.json:1: guarantees[0].accelerators: is missing"}},
	{{{"a.json", ORG(",\"guarantees\":[{\"members\":9,\"accelerators\":8,"
			 "\"within\":\"worker\"}]")}},
	 {"a.json:1: guarantees[0].members: makes a shape that no single"}},
	{{{"a.json",
	   ORG(",\"guarantees\":[{\"members\":1,\"accelerators\":1,\"within\":\"row\"}]")}},
	 {"a.json:1: guarantees[0].within: is not"}},
	{{{"a.json", ORG(",\"guarantees\":7,\"quota\":[]")}},
	 {"a.json:1: quota: is not an object", "a.json:1: guarantees: is not a list"}},
	{{{"a.json", ORG(",\"tokens\":[\"plain\"]")}}, {"a.json:1: tokens: is not a salted hash"}},
	{{{"a.json", ORG(",\"quota\":{\"jobs\":4294967296}")}},
	 {"a.json:1: quota.jobs: it is out"}},
	{{{"a.json", ORG(",\"quota\":{\"jobs\":99999999999999999999}")}}, {"a.json:1: : too big"}},
	{{{"a.json", ORG(",\"share\":1e300")}}, {"a.json:1: share: it is outside"}},
	{{{"a.json", "{\n\"decision\":\"class\",,}"}}, {"a.json:2: : "}},
	{{{"a.json", "{\"decision\":\"clas\",\"name\":\"x\"}"}},
	 {"a.json:1: decision: is not a known kind"}},
	{{{"a.json", "{\"decision\":\"class\"}"}}, {"a.json:1: name: is not a name"}},
	{{{"a.json", "[1]"}}, {"a.json:1: : the file does not hold an object"}},
	{{{"a.json", "{\"name\":\"a\",\"name\":\"b\"}"}}, {"a.json:1: : duplicate"}},
	{{{"a.txt", CLASS("")}}, {"a.txt:1: : the file's name"}},
	{{{"a.json", CLASS(",\"service\":\"s\"")}}, {"a.json:1: service: names a service that"}},
	{{{"a.json", CLASS(",\"hedge\":true")}}, {"a.json:1: hedge: would run requests twice"}},
	{{{"a.json", CLASS(",\"hedge\":true")}, {"b.json", CLASS(",\"idempotent\":true")}}, {NULL}},
	{{{"a.json", "{\"decision\":\"operator\",\"name\":\"x\",\"role\":\"root\"}"}},
	 {"a.json:1: role: is not", "a.json:1: token: is missing"}},
	{{{"a.json", "{\"decision\":\"operator\",\"name\":\"x\",\"token\":\"" HASH "\"}"}}, {NULL}},
	{{{"a.json", "{\"decision\":\"drain\",\"name\":\"x\",\"rack\":\"r\",\"zone\":\"z\"}"}},
	 {"a.json:1: decision: does not name exactly one"}},
	{{{"a.json", "{\"decision\":\"limits\",\"name\":\"x\",\"eject_percent\":51}"}},
	 {"a.json:1: eject_percent: it is outside 0 to 50"}},
	{{{"a.json", FLEET}, {"b.json", FLEET}},
	 {NULL}}, /* the later decision replaces the earlier one */
	{{{"a.json", "{\"decision\":\"fleet\",\"name\":\"f\",\"racks\":[{\"zone\":\"z\"}]}"}},
	 {"a.json:1: racks[0].rack: is missing", "a.json:1: racks[0].workers: is missing"}},
	{{{"a.json", FLEET},
	  {"b.json", ORG(",\"guarantees\":[{\"members\":3,\"accelerators\":8}]")}},
	 {"a.json:1: racks: "}},
};

static json_t *make_files(const struct file *files, size_t count)
{
	json_t *json = json_object();

	for (size_t i = 0; i < count && files[i].name; i++)
		json_object_set_new(json, files[i].name, json_string(files[i].text));
	return json;
}

static bool is_reported(const struct config_problems *problems, const char *expected)
{
	for (size_t i = 0; i < problems->count; i++) {
		const struct config_problem *problem = &problems->items[i];
		char line[512];

		snprintf(line, sizeof(line), "%s:%u: %s: %s", problem->file, problem->line,
			 problem->field, problem->message);
		if (!strncmp(line, expected, strlen(expected)) && problem->remedy[0])
			return true;
	}
	return false;
}

static void run_parse_case(const struct parse_case *parse_case)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	json_t *files = make_files(parse_case->files, 3);
	struct config_problems problems;
	struct config *config = config_parse(mem, files, &problems);
	size_t expected = 0;

	for (; expected < 4 && parse_case->problems[expected]; expected++) {
		bool found = is_reported(&problems, parse_case->problems[expected]);

		CU_ASSERT_TRUE(found);
		if (!found)
			fprintf(stderr, "not reported: %s\n", parse_case->problems[expected]);
	}
	CU_ASSERT_EQUAL(config != NULL, expected == 0);
	CU_ASSERT_EQUAL(problems.count, expected);
	json_decref(files);
	talloc_free(mem);
}

/* Guards against accepting an invalid file, or reporting its problem at the wrong file or line. */
static void test_parse_cases(void)
{
	for (size_t i = 0; i < sizeof(parse_cases) / sizeof(parse_cases[0]); i++)
		run_parse_case(&parse_cases[i]);
}

static const struct file merged_files[] = {
	{"10-base.json", "{\"decision\":\"policy\",\"name\":\"base\",\"weights\":"
			 "{\"completion\":0.7,\"fragmentation\":0.3}}"},
	{"20-org.json", ORG(",\"quota\":{\"jobs\":5,\"accelerators\":16},\"tokens\":[\"" HASH
			    "\"],\"guarantees\":[{\"members\":2,\"accelerators\":4,"
			    "\"memory_gb\":3,\"within\":\"rack\"}]")},
	{"50-growth.json", "{\"decision\":\"policy\",\"name\":\"growth\",\"lend_idle\":true}"},
	{"60-savings.json", "{\"decision\":\"policy\",\"name\":\"savings\",\"give_back\":"
			    "{\"enabled\":true,\"idle_s\":60}}"},
	{"70-more.json", ORG(",\"quota\":{\"jobs\":9}")},
	{"80-drain.json", "{\"decision\":\"drain\",\"name\":\"d\",\"rack\":\"r1\"}"},
	{"90-fleet.json", FLEET},
};

#define MERGED_FILE_COUNT (sizeof(merged_files) / sizeof(merged_files[0]))

static void check_merged_config(const struct config *config)
{
	const struct config_organisation *org = config_organisation(config, "o");

	CU_ASSERT_EQUAL(org->quota_jobs, 9);
	CU_ASSERT_EQUAL(org->quota_accelerators, 16);
	CU_ASSERT_EQUAL(org->guarantee_count, 1);
	CU_ASSERT_EQUAL(org->guarantees[0].memory_mb, 3072);
	CU_ASSERT_EQUAL(org->guarantees[0].within, PLACE_WITHIN_RACK);
	CU_ASSERT_EQUAL(org->share, 1);
	CU_ASSERT_EQUAL(config->policy.weight_completion, 0.7);
	CU_ASSERT_TRUE(config->policy.lend_idle);
	CU_ASSERT_TRUE(config->policy.give_back);
	CU_ASSERT_EQUAL(config->policy.give_back_idle_ms, 60000);
	CU_ASSERT_EQUAL(config->policy.give_back_return_ms, 300000);
	CU_ASSERT_EQUAL(config->fleet_count, 2);
	CU_ASSERT_STRING_EQUAL(config->fleet[1].name, "r1-2");
	CU_ASSERT_TRUE(config_drained(config, "w", "r1", "z"));
	CU_ASSERT_FALSE(config_drained(config, "r1", "r2", "z"));
}

/* Guards against a file that resets fields which it does not give but an earlier file set. */
static void test_merge(void)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	json_t *files = make_files(merged_files, MERGED_FILE_COUNT);
	struct config_problems problems;
	struct config *config = config_parse(mem, files, &problems);

	CU_ASSERT_PTR_NOT_NULL(config);
	if (config)
		check_merged_config(config);
	json_decref(files);
	talloc_free(mem);
}

/* Guards against accepting an unknown token, an empty one, or a hash in place of its token. */
static void test_tokens(void)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	json_t *files = make_files(merged_files, MERGED_FILE_COUNT);
	struct config_problems problems;
	struct config *config = config_parse(mem, files, &problems);
	const struct config_organisation *org;
	const struct config_operator *op;
	char *hash = config_hash_token(mem, "secret");

	CU_ASSERT_EQUAL(config_authenticate(config, "token", &org, &op), 0);
	CU_ASSERT_PTR_NOT_NULL(org);
	CU_ASSERT_PTR_NULL(op);
	CU_ASSERT_EQUAL(config_authenticate(config, "tokem", &org, &op), -ERR_DENIED);
	CU_ASSERT_EQUAL(config_authenticate(config, "", &org, &op), -ERR_DENIED);
	CU_ASSERT_EQUAL(config_authenticate(config, HASH, &org, &op), -ERR_DENIED);
	CU_ASSERT_TRUE(hash && !strncmp(hash, "$y$", 3));
	CU_ASSERT_PTR_NULL(config_hash_token(mem, ""));
	json_decref(files);
	talloc_free(mem);
}

static void test_diff(void)
{
	static const struct file before[] = {{"a.json", ORG(",\"quota\":{\"jobs\":5}")},
					     {"b.json", CLASS("")},
					     {"c.json", CLASS("")}};
	static const struct file after[] = {{"a.json", ORG(",\"quota\":{\"jobs\":6},\"share\":2")},
					    {"c.json", CLASS("  ")},
					    {"d.json", CLASS("")}};
	TALLOC_CTX *mem = talloc_new(NULL);
	json_t *from = make_files(before, 3);
	json_t *to = make_files(after, 3);
	char *text = config_diff(mem, from, to);

	CU_ASSERT_STRING_EQUAL(text, "~ a.json: quota.jobs 5 -> 6\n+ a.json: share 2\n- b.json\n"
				     "~ c.json: only the layout\n+ d.json\n");
	CU_ASSERT_STRING_EQUAL(config_diff(mem, from, from), "");
	json_decref(from);
	json_decref(to);
	talloc_free(mem);
}

/* Changes or removes 1 to 4 bytes. They stay ASCII, as a JSON string holds only UTF-8. */
static json_t *mutate_text(struct util_rng *rng, const char *text)
{
	static const char bytes[] = "{}[]\",:0123456789-eE.\\ntfu \n";
	char *copy = talloc_strdup(NULL, text);
	size_t len = strlen(copy);
	uint64_t changes = 1 + util_rng_below(rng, 4);
	json_t *json;

	while (changes-- > 0) {
		size_t at = util_rng_below(rng, len);

		if (util_rng_below(rng, 4) == 0)
			memmove(copy + at, copy + at + 1, len-- - at);
		else
			copy[at] = bytes[util_rng_below(rng, sizeof(bytes) - 1)];
	}
	json = json_string(copy);
	talloc_free(copy);
	return json;
}

/* Guards against input that crashes the parser, or is rejected without a reported problem. */
static void test_fuzz(void)
{
	struct util_rng rng = {20260101};

	for (int round = 0; round < FUZZ_ROUNDS; round++) {
		TALLOC_CTX *mem = talloc_new(NULL);
		json_t *files = make_files(merged_files, MERGED_FILE_COUNT);
		size_t victim = util_rng_below(&rng, MERGED_FILE_COUNT);
		struct config_problems problems;
		struct config *config;

		json_object_set_new(files, merged_files[victim].name,
				    mutate_text(&rng, merged_files[victim].text));
		config = config_parse(mem, files, &problems);
		CU_ASSERT_EQUAL(config == NULL, problems.count > 0);
		json_decref(files);
		talloc_free(mem);
	}
}

/* Guards against accepting a folder that is too large for one value of the store. */
static void test_sizes(void)
{
	TALLOC_CTX *mem = talloc_new(NULL);
	json_t *files = json_object();
	struct config_problems problems;
	char *big = talloc_size(mem, 800 * 1024);

	memset(big, ' ', 800 * 1024);
	json_object_set_new(files, "a.json", json_stringn(big, 800 * 1024));
	CU_ASSERT_PTR_NULL(config_parse(mem, files, &problems));
	CU_ASSERT_EQUAL(problems.count, 1);
	json_object_clear(files);
	json_object_set_new(files, "a.json", json_integer(1));
	CU_ASSERT_PTR_NULL(config_parse(mem, files, &problems));
	CU_ASSERT_PTR_NULL(config_parse(mem, NULL, &problems));
	CU_ASSERT_EQUAL(problems.count, 1);
	json_decref(files);
	talloc_free(mem);
}

struct example {
	const char *folder;
	const char *operator_token;
	const char *organisation;
};

static const struct example examples[] = {
	{"examples/nefeli", "nefeli-operator-token", "amorgos-growers"},
	{"examples/sonhario", "sonhario-operator-token", "ribeira-press"},
};

static void check_example(const struct example *example, const struct config *config)
{
	const struct config_organisation *org;
	const struct config_operator *op;
	char token[64];

	CU_ASSERT_EQUAL(config->organisation_count, 4);
	CU_ASSERT_EQUAL(config->fleet_count, 10);
	CU_ASSERT_TRUE(config->policy.lend_idle && config->policy.give_back);
	CU_ASSERT_EQUAL(config_authenticate(config, example->operator_token, &org, &op), 0);
	CU_ASSERT_TRUE(op && op->role == CONFIG_OPERATOR);
	snprintf(token, sizeof(token), "%s-token", example->organisation);
	CU_ASSERT_EQUAL(config_authenticate(config, token, &org, &op), 0);
	CU_ASSERT_TRUE(org && !strcmp(org->name, example->organisation));
}

/* Guards against examples that the parser rejects, or whose tokens do not match their hashes. */
static void test_examples(void)
{
	for (size_t i = 0; i < sizeof(examples) / sizeof(examples[0]); i++) {
		TALLOC_CTX *mem = talloc_new(NULL);
		struct config_problems problems = {0};
		json_t *files = NULL;
		struct config *config = NULL;

		CU_ASSERT_EQUAL(config_read_folder(examples[i].folder, &files, NULL), 0);
		config = config_parse(mem, files, &problems);
		CU_ASSERT_PTR_NOT_NULL(config);
		if (config)
			check_example(&examples[i], config);
		json_decref(files);
		talloc_free(mem);
	}
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("config", NULL, NULL);
	CU_add_test(suite, "rows", test_parse_cases);
	CU_add_test(suite, "merge", test_merge);
	CU_add_test(suite, "tokens", test_tokens);
	CU_add_test(suite, "diff", test_diff);
	CU_add_test(suite, "sizes", test_sizes);
	CU_add_test(suite, "examples", test_examples);
	CU_add_test(suite, "fuzz", test_fuzz);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
