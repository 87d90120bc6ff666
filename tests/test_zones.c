#include "zones.h"

#include <CUnit/Basic.h>
#include <string.h>

/* Guards against zones that are lost or kept as others come and go. */
static void test_table(void)
{
	struct zones *zones = zones_create(NULL);
	char name[] = "z1";

	CU_ASSERT_FALSE(zones_return(zones, "z1"));
	CU_ASSERT_TRUE(zones_evacuate(zones, name, 5, 100));
	name[1] = '9'; /* the table keeps names of its own */
	CU_ASSERT_TRUE(zones_evacuate(zones, "z2", 6, 200));
	CU_ASSERT_TRUE(zones_evacuate(zones, "z3", 7, 300));
	CU_ASSERT_EQUAL(zones_count(zones), 3);
	CU_ASSERT_TRUE(zones_return(zones, "z1"));
	CU_ASSERT_FALSE(zones_return(zones, "z1"));
	CU_ASSERT_EQUAL_FATAL(zones_count(zones), 2);
	CU_ASSERT_STRING_EQUAL(zones_row(zones, 0)->name, "z3");
	CU_ASSERT_STRING_EQUAL(zones_row(zones, 1)->name, "z2");
	CU_ASSERT_EQUAL(zones_row(zones, 1)->heard_ms, 200);
	talloc_free(zones);
}

/* Guards against a zone that counts as new, or returns, when its request is only written again. */
static void test_evacuated_again(void)
{
	struct zones *zones = zones_create(NULL);

	CU_ASSERT_TRUE(zones_evacuate(zones, "z1", 5, 100));
	CU_ASSERT_FALSE(zones_evacuate(zones, "z1", 8, 900));
	CU_ASSERT_EQUAL(zones_row(zones, 0)->revision, 8);
	CU_ASSERT_EQUAL(zones_row(zones, 0)->heard_ms, 100);
	CU_ASSERT_TRUE(zones_return(zones, "z1"));
	CU_ASSERT_TRUE(zones_evacuate(zones, "z1", 9, 1000));
	CU_ASSERT_EQUAL(zones_row(zones, 0)->heard_ms, 1000);
	talloc_free(zones);
}

int main(void)
{
	CU_pSuite suite;
	unsigned int failures;

	CU_initialize_registry();
	suite = CU_add_suite("zones", NULL, NULL);
	CU_add_test(suite, "table", test_table);
	CU_add_test(suite, "evacuated_again", test_evacuated_again);
	CU_basic_run_tests();
	failures = CU_get_number_of_failures();
	CU_cleanup_registry();
	return failures != 0;
}
