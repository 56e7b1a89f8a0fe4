#include <sodium.h>

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int aCount, char** aArguments)
{
  // Third-party libraries allocate memory for static objects on first use, which CppUTest would
  // report as a leak of the test that uses them first. The address sanitizer detects leaks instead.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  if (sodium_init() < 0) {
    return 1;
  }
  return CommandLineTestRunner::RunAllTests(aCount, aArguments);
}
