#include "config.h"

#include <dirent.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>

#define FILE_MAX_BYTES (1024 * 1024) /* more than one value of the store can hold */

static bool is_json_file_name(const char *name)
{
	size_t len = strlen(name);

	return name[0] != '.' && len > strlen(".json") &&
	       !strcmp(name + len - strlen(".json"), ".json");
}

static int read_content(const char *path, json_t **content, struct err *err)
{
	FILE *file = fopen(path, "r");
	char *text;
	size_t len;

	if (!file)
		return err_set(err, ERR_SYSTEM, "Check the file's permissions.",
			       "cannot open %s: %s", path, strerror(errno));
	text = talloc_size(NULL, FILE_MAX_BYTES + 1);
	len = fread(text, 1, FILE_MAX_BYTES + 1, file);
	fclose(file);
	*content = len > FILE_MAX_BYTES ? NULL : json_stringn(text, len);
	talloc_free(text);
	if (len > FILE_MAX_BYTES)
		return err_set(err, ERR_TOO_LARGE, "Split it into one file per decision.",
			       "%s holds more than 1 MB", path);
	if (!*content)
		return err_set(err, ERR_INVALID, "Save it as UTF-8.", "%s is not UTF-8 text", path);
	return 0;
}

static int read_entries(DIR *folder, const char *path, json_t *files, struct err *err)
{
	struct dirent *entry;
	int status = 0;

	while (!status && (entry = readdir(folder))) {
		char *name = talloc_asprintf(NULL, "%s/%s", path, entry->d_name);
		json_t *content = NULL;

		if (is_json_file_name(entry->d_name))
			status = read_content(name, &content, err);
		if (content)
			json_object_set_new(files, entry->d_name, content);
		talloc_free(name);
	}
	return status;
}

int config_read_folder(const char *path, json_t **files, struct err *err)
{
	DIR *folder = opendir(path);
	int status;

	*files = NULL;
	if (!folder)
		return err_set(err, errno == ENOENT ? ERR_NOT_FOUND : ERR_SYSTEM,
			       "Name the folder that holds the decision files.",
			       "cannot read the folder %s: %s", path, strerror(errno));
	*files = json_object();
	status = read_entries(folder, path, *files, err);
	closedir(folder);
	if (!status && json_object_size(*files) == 0)
		status = err_set(err, ERR_NOT_FOUND, "Name the folder that holds *.json files.",
				 "the folder %s holds no decision files", path);
	if (status) {
		json_decref(*files);
		*files = NULL;
	}
	return status;
}
