#ifndef JAYCOURSE_LIB_FIGURES_H
#define JAYCOURSE_LIB_FIGURES_H

#include "lib_proc.h"

/** figure_cpu_seconds() - processor time used by a process, from /proc; 0 if it is gone */
double figure_cpu_seconds(const struct proc *proc);

/** figure_rss_mb() - resident memory of a process, from /proc; 0 if it is gone */
double figure_rss_mb(const struct proc *proc);

/** figure_control_bytes() - control bytes sent and received, from the process's metrics */
double figure_control_bytes(const struct proc *proc);

/** figure_store_calls() - reads and writes counted by the store stand-in */
double figure_store_calls(const struct proc *store);

struct figure_fit {
	double intercept;
	double slope;
	double residual; /* largest vertical distance of a point from the line */
};

/** figure_fit() - least-squares line through @n points */
struct figure_fit figure_fit(const unsigned int *x, const double *y, unsigned int n);

#endif
