/*
 * Starts the JVM within this process, with the signal HUP disarmed before anything else is loaded.
 *
 * usage: berylwick-node JAVA_HOME [JVM_OPTION...] -cp CLASS_PATH MAIN_CLASS
 *
 * HUP asks the node to read its settings again. The launcher of the JDK leaves it at the default action of the kernel,
 * and then at that of the JVM, until the main class installs its handler; both end the process.
 */
#include <dlfcn.h>
#include <jni.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { MAX_OPTIONS = 64, MAX_PATH_CHARS = 4096, STACK_BYTES = 1 << 20, EXIT_USAGE = 2 };

typedef jint (*CreateJavaVm)(JavaVM **, void **, void *);

static char **arguments;
static int status;

/* The settings are read after the main class has replaced this handler, so the signal can be dropped until then. */
static void ignore_reload(int signal) {
    (void)signal;
}

static void fail(const char *what, const char *detail) {
    fprintf(stderr, "berylwick-node: %s: %s\n", what, detail);
    exit(EXIT_USAGE);
}

static CreateJavaVm load_jvm(const char *java_home) {
    char path[MAX_PATH_CHARS];
    if (snprintf(path, sizeof path, "%s/lib/server/libjvm.so", java_home) >= (int)sizeof path) {
        fail("path too long", java_home);
    }
    void *library = dlopen(path, RTLD_NOW | RTLD_GLOBAL);
    if (library == NULL) {
        fail("cannot load the JVM", dlerror());
    }
    CreateJavaVm create = (CreateJavaVm)dlsym(library, "JNI_CreateJavaVM");
    if (create == NULL) {
        fail("not a JVM", path);
    }
    return create;
}

/* Returns the main class, and sets the options in front of it. */
static const char *read_options(JavaVMInitArgs *init) {
    char **argument = arguments + 2;
    for (; *argument != NULL && (*argument)[0] == '-'; argument++) {
        if (init->nOptions == MAX_OPTIONS) {
            fail("too many options", *argument);
        }
        char *option = *argument;
        if (strcmp(option, "-cp") == 0) {
            if (*++argument == NULL) {
                fail("class path missing after", option);
            }
            static const char property[] = "-Djava.class.path=";
            option = malloc(sizeof property + strlen(*argument));
            if (option == NULL) {
                fail("out of memory", *argument);
            }
            strcat(strcpy(option, property), *argument);
        }
        init->options[init->nOptions++].optionString = option;
    }
    return *argument;
}

static void *run(void *unused) {
    (void)unused;
    JavaVMOption options[MAX_OPTIONS] = {0};
    JavaVMInitArgs init = {.version = JNI_VERSION_21, .options = options};
    const char *main_class = read_options(&init);
    if (main_class == NULL) {
        fail("main class missing", "usage: berylwick-node JAVA_HOME [JVM_OPTION...] -cp CLASS_PATH MAIN_CLASS");
    }
    CreateJavaVm create = load_jvm(arguments[1]);
    JavaVM *vm;
    JNIEnv *env;
    if (create(&vm, (void **)&env, &init) != JNI_OK) {
        fail("cannot create the JVM", main_class);
    }
    /* The JVM installs no handler for a signal that is ignored, so HUP must have one before the main class runs. */
    struct sigaction action = {.sa_handler = ignore_reload, .sa_flags = SA_RESTART};
    sigaction(SIGHUP, &action, NULL);

    char name[MAX_PATH_CHARS];
    snprintf(name, sizeof name, "%s", main_class);
    for (char *dot = strchr(name, '.'); dot != NULL; dot = strchr(dot, '.')) {
        *dot = '/';
    }
    jclass type = (*env)->FindClass(env, name);
    jmethodID method = type == NULL ? NULL : (*env)->GetStaticMethodID(env, type, "main", "([Ljava/lang/String;)V");
    if (method != NULL) {
        jobjectArray none = (*env)->NewObjectArray(env, 0, (*env)->FindClass(env, "java/lang/String"), NULL);
        (*env)->CallStaticVoidMethod(env, type, method, none);
    }
    if ((*env)->ExceptionCheck(env)) {
        (*env)->ExceptionDescribe(env);
        status = 1;
    }
    /* Waits for the threads that are not daemons. */
    (*vm)->DestroyJavaVM(vm);
    return NULL;
}

int main(int argc, char **argv) {
    signal(SIGHUP, SIG_IGN);
    if (argc < 2) {
        fail("JAVA_HOME missing", "usage: berylwick-node JAVA_HOME [JVM_OPTION...] -cp CLASS_PATH MAIN_CLASS");
    }
    arguments = argv;
    /* The JVM is created on a thread of its own, since it cannot place guard pages on the stack of the first one. */
    pthread_attr_t attributes;
    pthread_t thread;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, STACK_BYTES);
    if (pthread_create(&thread, &attributes, run, NULL) != 0 || pthread_join(thread, NULL) != 0) {
        fail("cannot run", "main thread");
    }
    return status;
}
