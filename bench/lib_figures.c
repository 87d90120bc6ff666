#include "lib_figures.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

double figure_cpu_seconds(const struct proc *proc)
{
	char path[64];
	char line[1024] = "";
	unsigned long user = 0;
	unsigned long system = 0;
	const char *rest;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/stat", proc->pid);
	file = fopen(path, "r");
	if (!file)
		return 0;
	if (!fgets(line, sizeof(line), file))
		line[0] = '\0';
	fclose(file);
	rest = strrchr(line, ')');
	if (!rest || sscanf(rest, ") %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu", &user,
			    &system) != 2)
		return 0;
	return (double)(user + system) / (double)sysconf(_SC_CLK_TCK);
}

double figure_rss_mb(const struct proc *proc)
{
	char path[64];
	unsigned long pages = 0;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/statm", proc->pid);
	file = fopen(path, "r");
	if (!file)
		return 0;
	if (fscanf(file, "%*u %lu", &pages) != 1)
		pages = 0;
	fclose(file);
	return (double)pages * (double)sysconf(_SC_PAGESIZE) / 1e6;
}

double figure_control_bytes(const struct proc *proc)
{
	char url[128];
	struct http_reply reply;
	double sum = 0;
	char *save = NULL;

	snprintf(url, sizeof(url), "http://%s/metrics", proc->address[0]);
	reply = http_call("GET", url, NULL, NULL, 5000);
	for (char *line = strtok_r(reply.body, "\n", &save); line;
	     line = strtok_r(NULL, "\n", &save)) {
		if (!strncmp(line, "jaycourse_wire_bytes_total", 26) &&
		    strstr(line, "class=\"control\""))
			sum += strtod(strrchr(line, ' '), NULL);
	}
	http_reply_free(&reply);
	return sum;
}

double figure_store_calls(const struct proc *store)
{
	char url[128];
	struct http_reply reply;
	json_t *json;
	double sum;

	snprintf(url, sizeof(url), "http://%s/stats", store->address[0]);
	reply = http_call("GET", url, NULL, NULL, 5000);
	json = json_loads(reply.body, 0, NULL);
	http_reply_free(&reply);
	sum = json_number_value(json_object_get(json, "reads")) +
	      json_number_value(json_object_get(json, "writes"));
	json_decref(json);
	return sum;
}

struct figure_fit figure_fit(const unsigned int *x, const double *y, unsigned int n)
{
	double mean_x = 0;
	double mean_y = 0;
	double covariance = 0;
	double variance = 0;
	struct figure_fit fit = {0};

	for (unsigned int i = 0; i < n; i++) {
		mean_x += x[i] / (double)n;
		mean_y += y[i] / n;
	}
	for (unsigned int i = 0; i < n; i++) {
		covariance += (x[i] - mean_x) * (y[i] - mean_y);
		variance += (x[i] - mean_x) * (x[i] - mean_x);
	}
	fit.slope = variance > 0 ? covariance / variance : 0;
	fit.intercept = mean_y - fit.slope * mean_x;
	for (unsigned int i = 0; i < n; i++) {
		double distance = y[i] - fit.intercept - fit.slope * x[i];

		if (distance < 0)
			distance = -distance;
		if (distance > fit.residual)
			fit.residual = distance;
	}
	return fit;
}
