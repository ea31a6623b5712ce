#ifndef PISTACHIOSHIFT_TEST_DOCUMENT_STEPGENERATOR_H
#define PISTACHIOSHIFT_TEST_DOCUMENT_STEPGENERATOR_H

#include <ostream>
#include <vector>

#include <rapidcheck/gtest.h>

#include "test/Document/DocumentSupport.h"

namespace pistachioshift::test {

inline std::ostream&
operator<<(std::ostream& aOut, const Step& aStep)
{
  return aOut << "{kind " << +aStep.kind << " section " << +aStep.section
              << " text " << +aStep.text << " lag " << +aStep.lag << " gap "
              << +aStep.gap << "}";
}

/** \brief Steps of any length; they shrink one by one. */
inline rc::Gen<std::vector<Step>>
AnySteps()
{
  const auto any = rc::gen::arbitrary<uint8_t>();
  return rc::gen::container<std::vector<Step>>(
    rc::gen::build<Step>(rc::gen::set(&Step::kind, any),
                         rc::gen::set(&Step::section, any),
                         rc::gen::set(&Step::text, any),
                         rc::gen::set(&Step::lag, any),
                         rc::gen::set(&Step::gap, any)));
}

}

#endif
