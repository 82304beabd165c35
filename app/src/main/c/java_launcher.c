/*
 * Starts the JVM as `java` does, with the same arguments, and retries thread creation while the system has no thread.
 *
 * The JVM creates a dozen threads before any Java code runs. It tries each four times within a few milliseconds and
 * then exits with code 1, so that a shortage of 30 ms costs a dispatcher. This program exports its own pthread_create,
 * which the JVM's libraries find before the C library's. Until the process listens for clients, it retries a creation
 * that fails with EAGAIN, with growing pauses, until 20 s after the start of the process. Once the process listens,
 * calls are passed on unchanged: clients are waiting then, and the dispatcher handles a missing thread itself.
 *
 * The size of the heap follows the memory limit in the file that ROUTER_CONFIG names, since the JVM takes it only as an
 * option. Without a limit there the options of the command line hold.
 *
 * There is no additional process: signals, exit code and memory are those of `java`. Signals are handled as usual while
 * a creation is retried. pthread_create and listen may be called by any thread.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

/* A dispatcher has to be ready within 30 s; the start itself needs the other 10 s. */
#define MOST_WAIT_NANOS 20000000000LL
#define FIRST_PAUSE_NANOS 1000000L
#define MOST_PAUSE_NANOS 50000000L

/* The heap for a memory limit in megabytes, as MemoryPlan.heapFor has it; below the least limit the dispatcher ends. */
#define LEAST_LIMIT_MEGABYTES 80
#define HEAP_OF(limit) ((limit) * 7 / 24 - 8)
#define INITIAL_HEAP_MEGABYTES 16
#define HEAP_OPTIONS 2
#define HEAP_OPTION_LENGTH 32

#define CONFIG_VARIABLE "ROUTER_CONFIG"
#define LIMIT_NAME "\"memory_mb\""
#define JAVA_PROGRAM "/bin/java"
#define JAVA_LIBRARY "/lib/libjli.so"
#define CANNOT_START 1

typedef int create_function(pthread_t *, const pthread_attr_t *, void *(*)(void *), void *);
typedef int listen_function(int, int);

/* The signature of JLI_Launch, with which every program of the JDK starts the JVM. */
typedef int launch_function(int argc, char **argv, int java_argc, const char **java_argv, int class_path_count,
                            const char **class_path, const char *full_version, const char *dot_version,
                            const char *program, const char *launcher, unsigned char java_args,
                            unsigned char class_path_wildcard, unsigned char window, int ergonomics);

static long long started_at;
static atomic_bool listening;
static atomic_bool told;

static long long now_nanos(void) {
  struct timespec at;
  clock_gettime(CLOCK_MONOTONIC, &at);
  return at.tv_sec * 1000000000LL + at.tv_nsec;
}

__attribute__((constructor)) static void note_start(void) { started_at = now_nanos(); }

static int may_wait(void) { return !atomic_load(&listening) && now_nanos() - started_at < MOST_WAIT_NANOS; }

static void pause_for(long nanos) {
  struct timespec pause = {0, nanos};
  nanosleep(&pause, NULL);
}

/* Prints one line when the retries have failed; later thread creations fail at once. */
static void tell_once(void) {
  if (!atomic_load(&listening) && !atomic_exchange(&told, 1)) {
    static const char line[] = "gorseladder: cannot start: the system had no thread for the Java machine for 20 s\n";
    if (write(STDERR_FILENO, line, sizeof line - 1) < 0) {
      /* Standard error is closed; there is nowhere else to report to. */
    }
  }
}

int pthread_create(pthread_t *thread, const pthread_attr_t *attributes, void *(*run)(void *), void *argument) {
  create_function *create = (create_function *)dlsym(RTLD_NEXT, "pthread_create");
  long pause = FIRST_PAUSE_NANOS;
  int result = create(thread, attributes, run, argument);
  while (result == EAGAIN && may_wait()) {
    pause_for(pause);
    pause = 2 * pause < MOST_PAUSE_NANOS ? 2 * pause : MOST_PAUSE_NANOS;
    result = create(thread, attributes, run, argument);
  }
  if (result == EAGAIN) {
    tell_once();
  }
  return result;
}

int listen(int socket, int backlog) {
  listen_function *next = (listen_function *)dlsym(RTLD_NEXT, "listen");
  atomic_store(&listening, 1);
  return next(socket, backlog);
}

/* Finds the home of the JDK whose `java`, or a link to it, is in `folder`. Returns 0 if there is none. */
static int home_of_java_in(const char *folder, char home[PATH_MAX]) {
  char program[PATH_MAX];
  int length = snprintf(program, sizeof program, "%s/java", folder);
  if (length >= (int)sizeof program || access(program, X_OK) != 0 || !realpath(program, home)) {
    return 0;
  }
  size_t end = strlen(home);
  size_t cut = strlen(JAVA_PROGRAM);
  if (end < cut || strcmp(home + end - cut, JAVA_PROGRAM) != 0) {
    return 0;
  }
  home[end - cut] = '\0';
  return 1;
}

/* Finds the home of the JDK whose `java` comes first on PATH. Returns 0 if there is none. */
static int find_java_home(char home[PATH_MAX]) {
  const char *path = getenv("PATH");
  char *folders = strdup(path ? path : "");
  char *rest = folders;
  int found = 0;
  while (!found && rest) {
    found = home_of_java_in(strsep(&rest, ":"), home);
  }
  free(folders);
  return found;
}

static launch_function *find_launch(void) {
  char library[PATH_MAX + sizeof JAVA_LIBRARY];
  char home[PATH_MAX];
  if (!find_java_home(home)) {
    fprintf(stderr, "gorseladder: cannot start: the path names no java\n");
    return NULL;
  }
  snprintf(library, sizeof library, "%s%s", home, JAVA_LIBRARY);
  void *handle = dlopen(library, RTLD_NOW | RTLD_GLOBAL);
  void *launch = handle ? dlsym(handle, "JLI_Launch") : NULL;
  if (!launch) {
    fprintf(stderr, "gorseladder: cannot start: %s\n", dlerror());
  }
  return (launch_function *)launch;
}

/* Reads the memory limit in megabytes from the configuration; 0 if there is none. */
static long read_memory_limit(void) {
  const char *path = getenv(CONFIG_VARIABLE);
  int file = path ? open(path, O_RDONLY | O_CLOEXEC) : -1;
  struct stat status;
  long limit = 0;
  if (file >= 0 && fstat(file, &status) == 0 && status.st_size > 0) {
    char *text = mmap(NULL, status.st_size, PROT_READ, MAP_PRIVATE, file, 0);
    if (text != MAP_FAILED) {
      char *name = memmem(text, status.st_size, LIMIT_NAME, strlen(LIMIT_NAME));
      char *end = text + status.st_size;
      char *at = name ? name + strlen(LIMIT_NAME) : end;
      while (at < end && strchr(": \t\r\n", *at)) {
        at++;
      }
      for (; at < end && *at >= '0' && *at <= '9' && limit < LONG_MAX / 100; at++) {
        limit = limit * 10 + (*at - '0');
      }
      munmap(text, status.st_size);
    }
  }
  if (file >= 0) {
    close(file);
  }
  return limit;
}

/* Whether the argument names the program, before which the options of the JVM end. */
static int names_program(const char *argument) {
  return strcmp(argument, "-jar") == 0 || strcmp(argument, "-cp") == 0;
}

/*
 * Sets the sizes of the heap by the memory limit of the configuration, as the last options, which override earlier ones.
 * Returns the number of arguments in `next`, which has room for HEAP_OPTIONS more.
 */
static int add_heap_options(int argc, char **argv, char **next) {
  static char options[HEAP_OPTIONS][HEAP_OPTION_LENGTH];
  long limit = read_memory_limit();
  long heap = HEAP_OF(limit);
  int count = 0;
  int added = limit < LEAST_LIMIT_MEGABYTES;
  for (int i = 0; i < argc; i++) {
    if (i > 0 && !added && names_program(argv[i])) {
      snprintf(options[0], HEAP_OPTION_LENGTH, "-Xmx%ldm", heap);
      long initial = heap < INITIAL_HEAP_MEGABYTES ? heap : INITIAL_HEAP_MEGABYTES;
      snprintf(options[1], HEAP_OPTION_LENGTH, "-Xms%ldm", initial);
      next[count++] = options[0];
      next[count++] = options[1];
      added = 1;
    }
    next[count++] = argv[i];
  }
  next[count] = NULL;
  return count;
}

int main(int argc, char **argv) {
  launch_function *launch = find_launch();
  char **arguments = calloc(argc + HEAP_OPTIONS + 1, sizeof *arguments);
  if (!launch || !arguments) {
    return CANNOT_START;
  }
  int count = add_heap_options(argc, argv, arguments);
  return launch(count, arguments, 0, NULL, 0, NULL, "17", "17", "java", "openjdk", 0, 1, 0, 0);
}
