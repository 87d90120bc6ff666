#ifndef JAYCOURSE_LIB_FIGURES_H
#define JAYCOURSE_LIB_FIGURES_H

#include "lib_proc.h"

/** figure_cpu_seconds() - processor time a process has used, from the kernel's counters */
double figure_cpu_seconds(const struct proc *proc);

/** figure_rss_mb() - resident memory */
double figure_rss_mb(const struct proc *proc);

/** figure_control_bytes() - control messages in both directions, by the process's own counters */
double figure_control_bytes(const struct proc *proc);

/** figure_store_calls() - reads and writes that the store stand-in has counted */
double figure_store_calls(const struct proc *store);

struct figure_fit {
	double intercept;
	double slope;
	double residual; /* largest distance of a point from the line */
};

/** figure_fit() - least squares line through @n points */
struct figure_fit figure_fit(const unsigned int *x, const double *y, unsigned int n);

#endif
